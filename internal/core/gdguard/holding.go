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
	// maxProbeTime is how long a packet of the upstream can settle a probed flow. The caller
	// sends its packet again by then, which probes the flow again.
	maxProbeTime = 2 * time.Second
)

// probedFlow is an unknown flow of which a packet was delivered to the upstream.
type probedFlow struct {
	key gdflow.Key
	f   *flow
	// deliveredAt is when the first packet was delivered, and askedAt when an entry host last asked.
	deliveredAt, askedAt time.Time
	answered             bool // the entry host was told that nothing is known yet
}

// due returns when the flow is to be settled, or the zero time if only a packet of the upstream can
// settle it.
func (t *probedFlow) due(lastReceived time.Time) time.Time {
	switch {
	case lastReceived.Sub(t.deliveredAt) >= returnTimeout:
		return lastReceived
	case !t.answered:
		return t.askedAt.Add(returnTimeout)
	}
	return time.Time{}
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

// reportHolding reports to the entry host whether the upstream holds the flow: at once if the guard
// knows it, otherwise when the upstream has shown it.
func (g *Guard) reportHolding(now time.Time, k gdflow.Key, f *flow) {
	switch {
	case f.state == open:
		g.add(Action{Verb: ReportHeld, Key: k, Entry: f.entry})
	case f.state != unknown:
	case f.reportHeld:
		if i := slices.IndexFunc(g.probed, func(t probedFlow) bool { return t.f == f }); i >= 0 {
			g.probed[i].askedAt, g.probed[i].answered = now, false
		}
	default:
		f.reportHeld = true
		g.probed = append(g.probed, probedFlow{key: k, f: f, deliveredAt: now, askedAt: now})
	}
}

// settleProbed marks the probed flows as held whose packets the upstream has received and not
// returned. That it has received them is shown by a later packet, of any flow: an upstream that
// is gone or stalled returns nothing either.
func (g *Guard) settleProbed(now time.Time) {
	g.probed = slices.DeleteFunc(g.probed, func(t probedFlow) bool { return t.f.state != unknown || !t.f.reportHeld })
	left := g.probed[:0]
	for _, t := range g.probed {
		switch {
		case g.lastReceived.Sub(t.deliveredAt) >= returnTimeout:
			t.f.state, t.f.reportHeld = open, false
			g.add(Action{Verb: ReportHeld, Key: t.key, Entry: t.f.entry})
			continue
		case now.Sub(t.deliveredAt) >= maxProbeTime:
			t.f.reportHeld = false
			continue
		case !t.answered && now.Sub(t.askedAt) >= returnTimeout:
			t.answered = true
			g.add(Action{Verb: ReportUnsure, Key: t.key, Entry: t.f.entry})
		}
		left = append(left, t)
	}
	clear(g.probed[len(left):])
	g.probed = left
}

// nextSettled returns when settleProbed is due, or the zero time.
func (g *Guard) nextSettled() time.Time {
	var next time.Time
	for i := range g.probed {
		if at := g.probed[i].due(g.lastReceived); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
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
