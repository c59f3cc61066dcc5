package gdguard

import (
	"cmp"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// maxStartSkew is the maximum difference between the start times of an agent and
	// its upstream if both were started together. No platform restarts a process that
	// fast, so no earlier agent can have accepted a flow.
	maxStartSkew = 100 * time.Millisecond
	// returnTimeout is how long an upstream takes at most to return a packet of a flow
	// that it does not hold. It does so at once and on the same host.
	returnTimeout = 5 * time.Millisecond
)

// probedFlow is an unknown flow of which a packet was delivered to the upstream.
type probedFlow struct {
	key gdflow.Key
	f   *flow
	at  time.Time
}

// mayBeOpen reports whether the upstream may hold the flow, however long it was idle.
func (g *Guard) mayBeOpen(now time.Time, f *flow) bool {
	return (f.state == open || f.state == unknown) && !f.closed && now.Sub(f.usedAt) < g.maxFlowAge()
}

func (g *Guard) maxFlowAge() time.Duration {
	return cmp.Or(g.MaxFlowAge, gddiscovery.DefaultMaxFlowAge)
}

// notHeld returns the reason for a packet of a flow that the upstream does not hold, as the
// entry host knows it.
func notHeld(exact bool) Reason {
	if exact {
		return FlowClosed
	}
	return NotHeld
}

// knowsAllFlows reports whether the upstream can't hold a flow that the guard does not
// know. An agent that has run for longer than a flow may be open has observed every one.
func (g *Guard) knowsAllFlows(now time.Time) bool {
	if !g.forgotAt.IsZero() && now.Sub(g.forgotAt) <= g.maxFlowAge() {
		return false
	}
	return g.ObservedFromStart || now.Sub(g.observingSince) > g.maxFlowAge()
}

// startedTogether reports whether the upstream, which was started at the Unix
// millisecond, was started together with the agent. Both times are from one host's
// clock. If the clock is adjusted between the two starts, they look far apart, except
// for one adjustment in hundreds.
func (g *Guard) startedTogether(startMilli int64) bool {
	return startMilli != 0 && !g.AgentStarted.IsZero() && g.AgentStarted.Sub(time.UnixMilli(startMilli)).Abs() <= maxStartSkew
}

// Holding reports what is known about a flow, for a query without a packet.
func (g *Guard) Holding(now time.Time, service uint32, k gdflow.Key) Holding {
	g.init(now)
	f, known := g.flows.Get(now, k)
	switch {
	case !g.serves(Header{Service: service}) || known && f.state == absent:
		return Absent
	case known && f.state == open:
		return Present
	case known && f.state == halfOpen:
		return HalfOpen
	case !known && (g.exited || g.knowsAllFlows(now)):
		return Absent
	}
	return Unsure
}

// Report returns what the agent reports about a flow in its reply to a query without a packet.
func (g *Guard) Report(now time.Time, h Header, k gdflow.Key) Holding {
	holding := g.Holding(now, h.Service, k)
	switch {
	case !h.Exact || holding != Absent:
		return holding
	case !g.serves(h):
		return HoldingWrongService
	}
	return Closed
}

// reportHolding reports to the entry host that the upstream holds the flow: at once if
// the guard knows it, otherwise when the upstream has sent a packet of the flow or has
// not returned the delivered one in time.
func (g *Guard) reportHolding(now time.Time, k gdflow.Key, f *flow) {
	switch {
	case f.state == open:
		g.add(Action{Verb: ReportHeld, Key: k, Entry: f.entry})
	case f.state == unknown && !f.reportHeld:
		f.reportHeld = true
		g.probed = append(g.probed, probedFlow{key: k, f: f, at: now})
	}
}

// settleProbed marks the probed flows whose packets the upstream did not return as held.
func (g *Guard) settleProbed(now time.Time) {
	i := 0
	for ; i < len(g.probed) && now.Sub(g.probed[i].at) >= returnTimeout; i++ {
		if t := g.probed[i]; t.f.state == unknown {
			t.f.state, t.f.reportHeld = open, false
			g.add(Action{Verb: ReportHeld, Key: t.key, Entry: t.f.entry})
		}
	}
	g.probed = slices.Delete(g.probed, 0, i)
}

// mayHold reports whether the upstream holds the flow of the packet, or may hold it.
func (f *flow) mayHold(p gdflow.Packet) bool {
	switch f.state {
	case absent, pending:
		return false
	case halfOpen:
		return f.confirms(p)
	}
	return true
}

// confirms reports whether the caller's packet acknowledges this upstream's
// acceptance, and not that of another upstream which accepted a copy.
func (f *flow) confirms(p gdflow.Packet) bool {
	const maxFirstAnswer = 1 << 20 // bytes of an answer before the first observed acknowledgement
	return p.Ack-f.acceptSeq <= maxFirstAnswer
}
