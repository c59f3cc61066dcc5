package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// A flow may have been opened a moment ago, through a host that had learnt of a route or an
// upstream before this one. Only a view that has all that the source had when a packet of the flow
// arrived shows that the flow has no route, or lists each upstream that may hold it.

const (
	// maxConfirmationError is how much later than stated a view may have been current whose age
	// comes from the source or from another host: the time that the answer or the beacon was on
	// its way.
	maxConfirmationError = 200 * time.Millisecond
	// unroutedPoll is the interval at which packets without a route are decided on again.
	unroutedPoll = 100 * time.Millisecond
	// unroutedTTL is how long such a packet waits. Callers send it again by then.
	unroutedTTL = 1400 * time.Millisecond
	// maxUnrouted limits these packets, to 0.3 MB.
	maxUnrouted = 256
	// maxAwaiting limits the lookups that go on as soon as the view is verified. Others do so at
	// their next poll.
	maxAwaiting = 4096
)

// VerifyView records that the view has all that the source had at the time, and decides on what has
// waited for that.
func (d *Dispatcher) VerifyView(now, at time.Time) []Action {
	d.init()
	d.noteVerified(at)
	if d.view == nil {
		return d.actions
	}
	if !d.unroutedDue.IsZero() {
		d.decideUnrouted(now)
	}
	keys := d.awaiting
	d.awaiting = nil
	for _, k := range keys {
		f, ok := d.flows.Get(now, k)
		r, routed := d.view.Route(k.Service())
		if ok && routed && f.lookup != nil && f.lookup.awaits != nil {
			f.lookup.awaits = nil
			d.queryNext(now, r, k, f)
		}
	}
	return d.actions
}

// stillAwaits reports whether a lookup waits and nothing has changed that could end its wait.
func (d *Dispatcher) stillAwaits(now time.Time, l *lookup) bool {
	return l.awaits != nil && l.awaits == d.view && l.viewPolls < maxViewPolls && !d.viewSuffices(now, l)
}

// awaitView makes a lookup wait for a newer view, or until the view is verified.
func (d *Dispatcher) awaitView(now time.Time, k gdflow.Key, l *lookup) {
	if l.awaits == nil && len(d.awaiting) < maxAwaiting {
		d.awaiting = append(d.awaiting, k)
	}
	l.awaits = d.view
	l.viewPolls++
	d.setDeadline(k, l, now.Add(viewPollInterval))
	if d.verified.Before(l.started) {
		d.add(Action{Verb: Verify})
	}
}

func (d *Dispatcher) noteVerified(at time.Time) {
	if at.After(d.verified) {
		d.verified = at
	}
}

// verifiedSince reports whether the view has all that the source had at the time, and lists all
// running upstreams and their routes.
func (d *Dispatcher) verifiedSince(now, at time.Time) bool {
	return !d.verified.Before(at) && !now.Before(d.settledAt)
}

// holdUnrouted holds a packet without a route until the view is verified.
func (d *Dispatcher) holdUnrouted(now time.Time, p gdflow.Packet, raw []byte) {
	if len(d.unrouted) >= maxUnrouted {
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: NoRoute})
		return
	}
	d.unrouted = append(d.unrouted, earlyPacket{received: now, packet: p, raw: slices.Clone(raw)})
	if d.unroutedDue.IsZero() {
		d.unroutedDue = now.Add(unroutedPoll)
	}
	d.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
	d.add(Action{Verb: Verify})
}

// decideUnrouted decides on the packets without a route that have arrived before the view was
// verified. Those whose route is known by now are handled, unless the caller has sent them again.
func (d *Dispatcher) decideUnrouted(now time.Time) {
	held := d.unrouted
	d.unrouted, d.unroutedDue = nil, time.Time{}
	for _, e := range held {
		_, ok := d.view.Route(e.packet.Key().Service())
		switch {
		case ok && now.Sub(e.received) <= earlyTTL:
			d.handleCallerPacket(now, e.packet, e.raw)
		case ok:
		case d.verifiedSince(now, e.received):
			d.resetUnlessReset(e.packet, NoRoute)
		case now.Sub(e.received) < unroutedTTL:
			d.unrouted = append(d.unrouted, e)
		default:
			d.add(Action{Verb: Drop, Key: e.packet.Key(), Reason: NoRoute})
		}
	}
	if len(d.unrouted) > 0 {
		d.unroutedDue = now.Add(unroutedPoll)
		d.add(Action{Verb: Verify})
	}
}
