package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// handleResolved handles a packet in the middle of a flow whose upstream is known.
func (d *Dispatcher) handleResolved(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	m := d.memberOf(f.upstream)
	if m == nil {
		// The address was reassigned to another service, or is no longer in the view.
		d.startLookup(now, f, lookingUp, p, raw)
		d.queryNext(now, r, p.Key(), f)
		return
	}
	again := f.retransmits(p)
	if d.noteRetransmission(now, f, p) && d.givesUp(now, r, f.upstream.address) {
		// A request that can't be delivered has no answer. The caller's
		// acknowledgements of an answer are forwarded as before.
		f.state = gone
		d.add(Action{Verb: Reset, Key: p.Key(), To: f.upstream.address, Seq: p.Ack, Reason: Unreachable})
		return
	}
	d.forwardTo(now, m, Action{
		Key: p.Key(), Packet: raw, PacketSeq: p.Seq, PacketSize: p.Size, Urgent: isUrgent(r), Reason: Known,
	})
	if again && f.doubt != nil && !now.Before(f.doubt.nextLookup) {
		d.lookUpAgain(now, r, f, p, raw)
	}
}

// HandleReturned decides on a packet that an agent returned.
func (d *Dispatcher) HandleReturned(now time.Time, info ReturnInfo, p gdflow.Packet, raw []byte) []Action {
	d.init()
	d.noteAnswer(now, info.From)
	d.newestRevision = max(d.newestRevision, info.Revision)
	if d.view == nil {
		return nil
	}
	r, ok := d.view.Route(p.Key().Service())
	if !ok {
		return nil
	}
	f := d.flow(now, p.Key())
	if p.Opens() {
		d.handleOpenRefused(now, r, info, p.Key(), f)
	} else {
		d.handleNotHeld(now, r, info, p, f, raw)
	}
	return d.actions
}

// noteAnswer records an answer of an agent's host.
func (d *Dispatcher) noteAnswer(now time.Time, from gdflow.Address) {
	d.hosts.answered(now, from)
	if d.cutOff {
		d.updateCutOff(now)
	}
}

// handleNotHeld continues the lookup after an agent reported that its upstream does
// not hold the flow.
func (d *Dispatcher) handleNotHeld(now time.Time, r *gddiscovery.Route, info ReturnInfo, p gdflow.Packet, f *flow, raw []byte) {
	switch f.state {
	case resolved:
		if f.upstream.address.IP() != info.From.IP() {
			d.forward(now, r, f.upstream, Action{Key: p.Key(), Packet: raw, Reason: Known})
			return
		}
		d.startLookupAfter(now, r, info, f.upstream, p, f, raw)
	case lookingUp:
		d.continueLookup(now, r, info, p.Key(), f)
	case gone:
		d.resetUnlessReset(p, FlowGone)
	case notFound:
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: NotFound})
	default:
		d.startLookupAfter(now, r, info, holder{address: info.From}, p, f, raw)
	}
}

// continueLookup continues a lookup after an agent has returned its packet.
func (d *Dispatcher) continueLookup(now time.Time, r *gddiscovery.Route, info ReturnInfo, k gdflow.Key, f *flow) {
	t := f.lookup.attemptAt(info.From)
	if t == nil || t.answered {
		return
	}
	if info.Reason == gdguard.WrongService {
		d.noteWrongService(now, r, k, f.lookup, t)
	} else {
		t.answered, t.unsure = true, d.mayBeHeldAfter(info)
	}
	if t.answered && (t == f.lookup.last() || f.lookup.allAnswered()) {
		d.queryNext(now, r, k, f)
	}
}

// startLookupAfter starts a lookup in which the agent of the holder has already reported that
// it does not hold the flow, or, on a host with upstreams of several services, that it is of another
// one, so that it is asked again.
func (d *Dispatcher) startLookupAfter(now time.Time, r *gddiscovery.Route, info ReturnInfo, at holder, p gdflow.Packet, f *flow, raw []byte) {
	d.startLookup(now, f, lookingUp, p, raw)
	if info.Reason != gdguard.WrongService || !d.view.SharedHost(info.From) {
		f.lookup.attempts = append(f.lookup.attempts, attempt{holder: at, answered: true, unsure: d.mayBeHeldAfter(info)})
	}
	d.queryNext(now, r, p.Key(), f)
}

// HandleAccepted records that the agent's upstream accepted the flow.
func (d *Dispatcher) HandleAccepted(now time.Time, from gdflow.Address, k gdflow.Key) []Action {
	d.init()
	d.noteAnswer(now, from)
	if f, ok := d.flows.Get(now, k); ok && d.view != nil && f.state != resolved {
		d.holderFound(now, from, k, f)
	}
	return d.actions
}

// HandleHeld records that the agent reports that its upstream holds the flow. It may be of an older build, which
// takes the silence of its upstream for holding.
func (d *Dispatcher) HandleHeld(now time.Time, from gdflow.Address, k gdflow.Key) []Action {
	d.init()
	d.noteAnswer(now, from)
	if f, ok := d.flows.Get(now, k); ok && d.view != nil && f.state != resolved && !f.doubts(from) {
		f.noteLookupData()
		d.holderFound(now, from, k, f)
		f.doubt = f.doubt.orNew()
	}
	return d.actions
}

// holderFound resolves the flow.
func (d *Dispatcher) holderFound(now time.Time, from gdflow.Address, k gdflow.Key, f *flow) {
	if f.state == opening {
		if t := f.lookup.attemptAt(from); t != nil {
			d.noteRoundTrip(now, k, t)
		}
	}
	d.resolve(now, k, f, d.holderOn(f, from))
}

// NextTick returns when Tick is due, or the zero time if there is nothing to do.
func (d *Dispatcher) NextTick() time.Time {
	next := earliest(earliest(d.queries.due, d.pingAt), d.unroutedDue)
	if len(d.timers) > 0 {
		next = earliest(next, d.timers[0].at)
	}
	return next
}

// earliest returns the earlier of two times. The zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Tick continues the lookups whose upstreams have not answered in time.
func (d *Dispatcher) Tick(now time.Time) []Action {
	d.init()
	i := 0
	for ; i < len(d.timers) && !d.timers[i].at.After(now); i++ {
		d.expire(now, d.timers[i])
	}
	d.timers = slices.Delete(d.timers, 0, i)
	if !d.queries.due.IsZero() && !d.queries.due.After(now) {
		d.flushQueries()
	}
	if !d.pingAt.IsZero() && !d.pingAt.After(now) {
		d.ping(now)
	}
	if !d.unroutedDue.IsZero() && !d.unroutedDue.After(now) {
		d.decideUnrouted(now)
	}
	return d.actions
}

func (d *Dispatcher) expire(now time.Time, t timer) {
	f, ok := d.flows.Get(now, t.key)
	if !ok || f.lookup == nil || !f.lookup.deadline.Equal(t.at) {
		return
	}
	if f.lookup.deferred {
		d.reoffer(now, t.key, f)
		return
	}
	if d.stillAwaits(now, f.lookup) {
		d.awaitView(now, t.key, f.lookup)
		return
	}
	d.noteTimeouts(now, f.lookup)
	d.updateCutOff(now)
	r, ok := d.view.Route(t.key.Service())
	if !ok {
		d.endLookup(f)
		f.state = 0
		return
	}
	if f.state == opening {
		d.offerNext(now, r, t.key, f)
	} else {
		d.queryNext(now, r, t.key, f)
	}
}

// noteTimeouts records which upstreams have not answered in time.
func (d *Dispatcher) noteTimeouts(now time.Time, l *lookup) {
	for i := range l.attempts {
		t := &l.attempts[i]
		switch {
		case t.answered:
		case t.undecided:
			t.answered, t.unsure = true, true
		default:
			l.unanswered = true
			d.hosts.timedOut(now, t.address)
			if d.hosts.silent(t.address) {
				d.probeHost(now, t.address)
			}
		}
	}
}
