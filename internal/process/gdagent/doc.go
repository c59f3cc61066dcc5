// Package gdagent is the agent process beside an upstream: it lets in the packets
// that belong here, ends the callers' QUIC connections, and hands their requests
// to package gdrequest.
//
// # Duties
//
// One goroutine, the door, reads envelopes, decides with [gdroute.PacketFilter], and
// puts accepted datagrams into a bounded ring from which the QUIC transport
// reads; a full ring drops, and counts. One accepts connections and keeps the
// register of flows. One closes the flows when their failure domain is taken out.
// Each request is served by a goroutine of its own, as net/http does.
//
// # Usage
//
//	a := &gdagent.Agent{NodeAddress: addr, Upstream: 101, Requests: requests, ...}
//	err := a.Run(ctx)
package gdagent
