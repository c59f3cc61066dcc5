// Package gdagent is the agent process beside an upstream: it ends the callers'
// QUIC connections, admits or refuses each request, and talks HTTP to the
// upstream.
//
// # Duties
//
// One goroutine, the door, reads envelopes, decides with [gdroute.Door], and
// puts accepted datagrams into a bounded ring from which the QUIC transport
// reads; a full ring drops, and counts. One accepts connections and keeps the
// register of flows. Each request is served by a goroutine of its own, as
// net/http does.
//
// # Usage
//
//	a := &gdagent.Agent{NodeAddress: addr, Upstream: 101, Target: url, ...}
//	err := a.Run(ctx)
package gdagent
