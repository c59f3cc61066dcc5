// Package gdupstreamsim is a stand-in of an upstream, which speaks HTTP/1.1 to
// the agent beside it.
//
// An upstream has slots and bears one request when it is cold; what it bears
// grows to its slots over the warm-up time. Over what it bears it becomes very
// slow, and over twice that it sheds with 503 and Retry-After. A [Record] shared
// by the upstreams of a rig notes each start, which proves that a refused
// request did not run and that an at-most-once request ran no more than once.
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
//	n := rec.Starts("key-1") // at most 1
//
// # Paths
//
// POST / echoes the body, GET /feed streams one numbered line an interval, each
// other POST does work of one service time, GET /healthz and GET /load answer
// the agent. A feed takes no slot once its head is sent.
package gdupstreamsim
