package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// maxBusyOffers is how many busy upstreams are tried before the least loaded
	// one is asked to accept the flow nevertheless.
	maxBusyOffers = 3
	// reofferInterval is the delay after which a flow is offered again if all
	// upstreams were overloaded: about the duration of a request.
	reofferInterval = 20 * time.Millisecond
	// minDeferral and maxDeferral limit how long such a flow is deferred. Between
	// them the limit is the route's latency objective, after which no answer could be
	// in time.
	minDeferral = 50 * time.Millisecond
	maxDeferral = 250 * time.Millisecond
	// maxSilentShare is the share of silent agents above which a flow is not offered to one
	// after the other: the path from this host is at fault, or all agents are, and the offers
	// would only add to a full link.
	maxSilentShare = 0.5
	// maxUrgentPriority is the last priority that counts as urgent.
	maxUrgentPriority = 1
)

// handleOpen handles a packet that opens a flow, or a retransmission of one.
func (d *Dispatcher) handleOpen(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	const secondCopy = 2
	switch f.state {
	case resolved:
		if p.Retransmits() < secondCopy {
			d.forward(now, r, f.upstream, Action{Key: p.Key(), Packet: raw, Opens: true, Reason: Known})
			return
		}
	case opening:
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
		return
	case 0:
		// No upstream can have accepted the first transmission, and another host
		// can offer the flow.
		if d.cutOff && p.Retransmits() == 0 {
			d.add(Action{Verb: Reset, Key: p.Key(), Reason: CutOff})
			return
		}
	}
	d.startLookup(now, f, opening, p, raw)
	d.offerNext(now, r, p.Key(), f)
}

// offerNext offers the flow to the next upstream.
func (d *Dispatcher) offerNext(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	if l.unanswered && d.mostAreSilent() {
		d.markNotFound(now, k, f) // the caller's next copy is offered again
		return
	}
	if m, a := d.nextOffer(now, r, k, l); m != nil {
		d.sendPacket(now, r, k, f, m.Address(), a)
		l.noteSpill(a)
		return
	}
	if t := l.leastLoaded(); t != nil {
		if l.forced {
			d.deferOffer(now, r, k, f)
			return
		}
		l.forced = true
		at := t.address
		l.remove(at)
		d.sendPacket(now, r, k, f, at, Action{
			Opens: true, Reason: LeastLoaded, Header: gdguard.Header{Forced: true, Urgent: isUrgent(r)},
		})
		return
	}
	if l.allAnswered() && !l.unanswered {
		// Each upstream has refused, so the request has not run. An unresponsive
		// one may have accepted the flow.
		d.refuse(k, f, NoUpstream)
		return
	}
	d.markNotFound(now, k, f)
}

// mostAreSilent reports whether most agents have stopped responding.
func (d *Dispatcher) mostAreSilent() bool {
	return d.hosts.silentCount >= minSilentAgents && float64(d.hosts.silentCount) > maxSilentShare*float64(len(d.view.Upstreams()))
}

// isUrgent reports whether the route is of the first priorities.
func isUrgent(r *gddiscovery.Route) bool { return r.Priority <= maxUrgentPriority }

// refuse ends the offers and resets the flow at the caller. No upstream has
// accepted it.
func (d *Dispatcher) refuse(k gdflow.Key, f *flow, reason Reason) {
	attempts := len(f.lookup.attempts)
	d.endLookup(f)
	f.state = 0
	d.add(Action{Verb: Reset, Key: k, Reason: reason, Attempts: attempts})
}

// deferOffer defers a flow for which all upstreams are overloaded, or refuses it
// when it has been deferred for the route's latency objective.
func (d *Dispatcher) deferOffer(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	if now.Sub(l.started) >= min(max(r.LatencyObjective, minDeferral), maxDeferral) {
		if l.unanswered {
			d.markNotFound(now, k, f)
			return
		}
		d.refuse(k, f, Overloaded)
		return
	}
	l.deferred = true
	d.setDeadline(k, l, now.Add(reofferInterval))
}

// reoffer offers a deferred flow to all upstreams again.
func (d *Dispatcher) reoffer(now time.Time, k gdflow.Key, f *flow) {
	f.lookup.deferred, f.lookup.forced = false, false
	f.lookup.attempts = f.lookup.attempts[:0]
	if r, ok := d.view.Route(k.Service()); ok {
		d.offerNext(now, r, k, f)
	}
}

// handleOpenRefused offers the flow to the next upstream if the refusal comes from
// the one that was tried last.
func (d *Dispatcher) handleOpenRefused(now time.Time, r *gddiscovery.Route, info ReturnInfo, k gdflow.Key, f *flow) {
	if info.Reason == gdguard.Silent || info.Reason == gdguard.Exited {
		d.hosts.markSuspect(now, info.From)
	}
	if f.state != opening || f.lookup.deferred {
		return
	}
	t := f.lookup.attemptAt(info.From)
	if t == nil {
		return
	}
	d.noteRoundTrip(now, r, t)
	t.answered, t.load, t.refusal = true, info.Load, info.Reason
	t.busy = info.Reason == gdguard.Busy && !t.spilled
	if t == f.lookup.last() {
		d.offerNext(now, r, k, f)
	}
}

func (l *lookup) busyCount() int {
	n := 0
	for _, t := range l.attempts {
		if t.busy {
			n++
		}
	}
	return n
}

// leastLoaded returns the busy upstream with the least load, or nil.
func (l *lookup) leastLoaded() *attempt {
	var best *attempt
	for i := range l.attempts {
		if t := &l.attempts[i]; t.busy && (best == nil || t.load < best.load) {
			best = t
		}
	}
	return best
}
