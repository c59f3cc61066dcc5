// Package gdupstreamsim simulates an upstream, which speaks HTTP/1.1 to its agent.
//
// The capacity of a cold upstream is one concurrent request. It grows to the number
// of slots during the warm-up time. Requests beyond the capacity are served very
// slowly, and requests beyond twice the capacity are refused with 503 and Retry-After.
// A [Record] shared by the upstreams of a rig counts each start of a request. With it,
// a test checks that a refused request did not run and that an at-most-once request
// ran no more than once.
//
// # Usage
//
//	rec := &gdupstreamsim.Record{}
//	u := &gdupstreamsim.Upstream{
//		Service: "booking", Name: "booking-1", Slots: 3,
//		ServiceTime: 20 * time.Millisecond, WarmUp: 10 * time.Second, Record: rec,
//	}
//	go u.Run(ctx)
//	u.TurnCold()
//	n := rec.StartsOfKey("key-1") // at most 1
//
// # Paths
//
// GET /feed streams a numbered line at each interval. GET /healthz and GET /load
// report the load to the agent. A request for any other path, such as POST /, takes
// one service time and echoes the body. A feed takes no slot.
package gdupstreamsim
