package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// bestRanked returns the upstream that ranks first for the flow among those that
// pass the filter and were not tried yet.
func (d *Dispatcher) bestRanked(hash uint64, p *gddiscovery.Pool, l *lookup, ok func(*gddiscovery.Member) bool) *gddiscovery.Member {
	var first *gddiscovery.Member
	var top uint64
	for _, m := range p.Members() {
		score := m.Score(hash)
		if (first == nil || score > top) && l.attemptAt(m.Address()) == nil && ok(m) {
			first, top = m, score
		}
	}
	return first
}

// offerNext offers the flow to the next upstream.
func (d *Dispatcher) offerNext(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	hash := k.Hash()
	var m *gddiscovery.Member
	if p, ok := d.view.Pool(r.PickService(hash)); ok && l.busyCount() < maxBusyOffers {
		m = d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) && !d.hosts.suspect(now, m.Address()) })
		if m == nil && l.leastLoaded() == nil {
			m = d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) })
		}
	}
	if m != nil {
		d.sendPacket(now, r, k, f, m.Address(), Action{Opens: true, Reason: ByRank})
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
			Opens: true, Reason: LeastLoaded, Header: gdguard.Header{Forced: true, Urgent: r.Priority <= maxUrgentPriority},
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

// queryNext queries the next upstream for the flow. When the likely holders have
// answered that they do not hold it, queryNext queries all others, provided that their
// answers can prove that the flow is gone.
func (d *Dispatcher) queryNext(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	hash := k.Hash()
	for len(f.lookup.attempts) < maxSerialQueries {
		m := d.nextCandidate(hash, r, f.lookup)
		if m == nil {
			break
		}
		d.sendPacket(now, r, k, f, m.Address(), Action{Reason: ByRank, Header: gdguard.Header{Confirm: true}})
		if !d.hosts.suspect(now, m.Address()) {
			return
		}
	}
	if d.nextCandidate(hash, r, f.lookup) != nil && d.mayBroadcast(now, r) {
		d.queryOthers(now, r, k, f)
	}
	if !now.Before(f.lookup.deadline) || f.lookup.allAnswered() {
		d.retryQueries(now, r, k, f)
	}
}

// queryOthers queries all upstreams that were not tried yet.
func (d *Dispatcher) queryOthers(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	tried := len(f.lookup.attempts)
	for m := range d.members(r) {
		known := slices.ContainsFunc(f.lookup.attempts[:tried], func(t attempt) bool { return t.address.IP() == m.Address().IP() })
		if !known {
			f.lookup.attempts = append(f.lookup.attempts, attempt{address: m.Address(), queried: true})
			d.addQuery(now, k, m)
		}
	}
	d.setDeadline(k, f.lookup, now.Add(batchDelay+answerTimeout))
}

// mayBroadcast reports whether all upstreams of the route may be queried: their
// answers can prove that the flow is gone, because none is known to be unresponsive,
// and the rate limit of such lookups is not exceeded.
func (d *Dispatcher) mayBroadcast(now time.Time, r *gddiscovery.Route) bool {
	if now.Sub(d.confirmed) > maxViewAge {
		return false
	}
	for m := range d.members(r) {
		if d.hosts.suspect(now, m.Address()) && !removedLongAgo(now, m) && !d.givesUp(now, r, m.Address()) {
			return false
		}
	}
	return d.broadcasts.take(now, broadcastsPerSecond, broadcastBurst)
}

// retryQueries queries the unresponsive upstreams again. It ends the lookup if
// there are none or they were queried often enough.
func (d *Dispatcher) retryQueries(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	if l.allAnswered() && l.viewPolls < maxViewPolls && d.nextCandidate(0, r, l) == nil && d.viewBehind(l) {
		l.viewPolls++
		d.setDeadline(k, l, now.Add(viewPollInterval))
		return
	}
	if l.retries >= maxRetries || d.provesGone(now, r, l) || l.allAnswered() {
		d.conclude(now, r, k, f)
		return
	}
	l.retries++
	d.setDeadline(k, l, now.Add(answerTimeout<<l.retries))
	for i := range l.attempts {
		if t := &l.attempts[i]; !t.answered {
			d.repeatQuery(now, r, k, l, t)
		}
	}
}

// repeatQuery queries an unresponsive upstream again.
func (d *Dispatcher) repeatQuery(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup, t *attempt) {
	m := d.memberAt(r, t.address)
	switch {
	case m == nil:
	case t.queried:
		d.addQuery(now, k, m)
	case l.packet != nil:
		d.forwardTo(now, m, l.packetQuery(k))
	}
}

// setDeadline sets the time at which the lookup continues without an answer.
func (d *Dispatcher) setDeadline(k gdflow.Key, l *lookup, at time.Time) {
	if l.deadline.Equal(at) {
		return
	}
	l.deadline = at
	i, _ := slices.BinarySearchFunc(d.timers, at, func(t timer, at time.Time) int { return t.at.Compare(at) })
	d.timers = slices.Insert(d.timers, i, timer{key: k, at: at})
}

// removedLongAgo reports whether the upstream's registration was removed so long
// ago that a running upstream would have registered again.
func removedLongAgo(now time.Time, m *gddiscovery.Member) bool {
	since, gone := m.Removed()
	return gone && now.Sub(since) >= removalGrace
}

// conclude ends a lookup in which no upstream has reported that it holds the flow.
func (d *Dispatcher) conclude(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	if !d.provesGone(now, r, f.lookup) {
		d.markNotFound(now, k, f)
		return
	}
	attempts, seq := len(f.lookup.attempts), f.lookup.ack
	d.endLookup(f)
	f.state = gone
	d.add(Action{Verb: Reset, Key: k, Seq: seq, Reason: FlowGone, Attempts: attempts})
}

// nextCandidate returns the next upstream that may hold the flow. Those of the
// service that the flow would be routed to now come first.
func (d *Dispatcher) nextCandidate(hash uint64, r *gddiscovery.Route, l *lookup) *gddiscovery.Member {
	all := func(*gddiscovery.Member) bool { return true }
	chosen := r.PickService(hash)
	if p, ok := d.view.Pool(chosen); ok {
		if m := d.bestRanked(hash, p, l, all); m != nil {
			return m
		}
	}
	for _, share := range r.Shares {
		if p, ok := d.view.Pool(share.Service); ok && share.Service != chosen {
			if m := d.bestRanked(hash, p, l, all); m != nil {
				return m
			}
		}
	}
	return nil
}

// provesGone reports whether the lookup has proved that no upstream holds the flow:
// each one that could hold it has answered that it does not, and the view is recent
// enough to list them all.
func (d *Dispatcher) provesGone(now time.Time, r *gddiscovery.Route, l *lookup) bool {
	if len(l.attempts) == 0 || now.Sub(d.confirmed) > maxViewAge || d.nextCandidate(0, r, l) != nil {
		return false
	}
	for _, t := range l.attempts {
		if m := d.memberAt(r, t.address); (!t.answered || t.unsure) && m != nil && !removedLongAgo(now, m) && !d.givesUp(now, r, t.address) {
			return false
		}
	}
	return !d.viewBehind(l)
}

// viewBehind reports whether agents had reported a higher revision than the view's
// when the last upstream of the lookup answered. Higher revisions that are reported
// later don't count, or the lookup would not end during a series of registrations.
func (d *Dispatcher) viewBehind(l *lookup) bool {
	if l.requiredRevision == 0 {
		l.requiredRevision = max(d.newestRevision, 1)
	}
	return d.view.Revision() < l.requiredRevision
}

// sendPacket sends the packet of the lookup to an upstream and starts the timeout.
func (d *Dispatcher) sendPacket(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow, at gdflow.Address, a Action) {
	l := f.lookup
	l.attempts = append(l.attempts, attempt{address: at})
	d.setDeadline(k, l, now.Add(answerTimeout))
	if l.packet == nil {
		return
	}
	a.Key, a.Packet, a.Attempts = k, l.packet, len(l.attempts)
	d.forward(now, r, at, a)
}

// maxFailedLookups is the number of failed lookups after which the delay no longer doubles.
const maxFailedLookups = 4

// markNotFound ends a lookup without a result.
func (d *Dispatcher) markNotFound(now time.Time, k gdflow.Key, f *flow) {
	attempts := len(f.lookup.attempts)
	d.endLookup(f)
	f.state, f.retryAfter = notFound, now.Add(min(notFoundDelay<<f.failedLookups, maxNotFoundDelay))
	f.failedLookups = min(f.failedLookups+1, maxFailedLookups)
	d.add(Action{Verb: Drop, Key: k, Reason: NotFound, Attempts: attempts})
}

// packetQuery returns the action that sends the packet of the lookup as a query.
func (l *lookup) packetQuery(k gdflow.Key) Action {
	return Action{Key: k, Packet: l.packet, Attempts: len(l.attempts), Reason: Broadcast, Header: gdguard.Header{Confirm: true}}
}

// enqueue queues a packet until the lookup ends.
func (l *lookup) enqueue(raw []byte) {
	if l.packet != nil && len(l.pending) < maxPending {
		l.pending = append(l.pending, append([]byte(nil), raw...))
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

func (l *lookup) allAnswered() bool {
	for _, t := range l.attempts {
		if !t.answered {
			return false
		}
	}
	return true
}

// remove removes the attempt at the address.
func (l *lookup) remove(at gdflow.Address) {
	for i := range l.attempts {
		if l.attempts[i].address == at {
			l.attempts = append(l.attempts[:i], l.attempts[i+1:]...)
			return
		}
	}
}
