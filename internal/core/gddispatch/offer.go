package gddispatch

import (
	"cmp"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// maxBusyOffers is how many busy upstreams are tried before the least loaded
	// one is asked to accept the flow nevertheless.
	maxBusyOffers = 3
	// reofferInterval is the delay after which a flow of a route without an objective is
	// offered again if all upstreams were overloaded, and deferral how long that is repeated.
	reofferInterval = 20 * time.Millisecond
	deferral        = 50 * time.Millisecond
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
	if f.opening.ReplacedBy(p, f.callerEnd, f.hasData) {
		d.endLookup(f)
		*f = flow{}
	}
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
	f.opening = gdflow.OpeningOf(p)
	maybeAccepted := f.state != 0 || p.Retransmits() > f.refusals
	d.startLookup(now, f, opening, p, raw)
	f.lookup.maybeAccepted = maybeAccepted
	d.recallBusy(now, r, p.Key(), f.lookup)
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
	if t := l.leastLoaded(now); t != nil {
		if l.forced || t.recalled && d.knownFull(now, r, t) {
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
	if l.allAnswered() {
		d.refuse(now, k, f, Action{Reason: NoUpstream})
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

// refuse ends the offers and resets the flow at the caller, unless an upstream may have
// accepted it: one that has not answered, or one that was not asked now but was asked for an
// earlier transmission, perhaps by another host.
func (d *Dispatcher) refuse(now time.Time, k gdflow.Key, f *flow, a Action) {
	l := f.lookup
	if l.unanswered || l.maybeAccepted {
		d.markNotFound(now, k, f)
		if !l.unanswered {
			f.retryAfter = now // the holder was not looked for
		}
		return
	}
	a.Verb, a.Key, a.Attempts = Reset, k, l.asked()
	f.refusals = int(l.ack) + 1 // the packet's ack is the number of its retransmissions
	d.endLookup(f)
	f.state = 0
	d.add(a)
}

// deferOffer defers a flow for which all upstreams are overloaded, or refuses it. With an
// objective, the agents queue the flows that they can serve in time, and the rest is better off
// with an answer at once.
func (d *Dispatcher) deferOffer(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	if objectiveOf(r) == 0 && now.Sub(l.started) < deferral {
		l.deferred = true
		d.setDeadline(k, l, now.Add(reofferInterval))
		return
	}
	d.refuse(now, k, f, Action{Reason: Overloaded, Wait: l.leastLoaded(now).waited.left(now)})
}

// reoffer offers a deferred flow to all upstreams again.
func (d *Dispatcher) reoffer(now time.Time, k gdflow.Key, f *flow) {
	r, ok := d.view.Route(k.Service())
	if !ok {
		d.endLookup(f)
		f.state = 0
		return
	}
	f.lookup.deferred, f.lookup.forced = false, false
	f.lookup.attempts = f.lookup.attempts[:0]
	d.offerNext(now, r, k, f)
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
	d.noteRoundTrip(now, k, t)
	t.answered, t.load, t.refusal = true, info.Load, info.Reason
	t.busy = info.Reason == gdguard.Busy && !t.spilled
	if info.Reason == gdguard.Busy && objectiveOf(r) > 0 {
		t.waited = d.waits.note(now, info, r, f.lookup.forced && t == f.lookup.last())
	}
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

// leastLoaded returns the busy upstream whose slots are free first, or nil. Of several, it is
// the one with the least load.
func (l *lookup) leastLoaded(now time.Time) *attempt {
	var best *attempt
	for i := range l.attempts {
		t := &l.attempts[i]
		if t.busy && (best == nil || cmp.Or(cmp.Compare(t.waited.left(now), best.waited.left(now)), t.load-best.load) < 0) {
			best = t
		}
	}
	return best
}

// asked returns how many upstreams were asked.
func (l *lookup) asked() int {
	n := 0
	for _, t := range l.attempts {
		if !t.recalled {
			n++
		}
	}
	return n
}
