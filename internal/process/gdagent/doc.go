// Package gdagent is the agent process beside an upstream. It accepts the packets
// of the flows that it holds, terminates the callers' QUIC connections, and passes
// their requests to package gdrequest.
//
// # Goroutines
//
// One goroutine, the packet filter, reads envelopes, decides on them with
// [gdroute.PacketFilter], and puts accepted datagrams into a bounded ring from which
// the QUIC transport reads. If the ring is full, the datagram is dropped and counted.
// Another goroutine accepts connections and registers the flows. A third one closes
// the flows when their failure domain is out of service. Each request is served by a
// goroutine of its own, as in net/http.
//
// # Usage
//
//	a := &gdagent.Agent{NodeAddress: addr, Upstream: 101, Requests: requests, ...}
//	err := a.Run(ctx)
package gdagent
