package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// maxSerialQueries is how many upstreams are queried one after the other for a
	// flow before all others are queried at once: one more than the busy upstreams
	// that a new flow is offered to.
	maxSerialQueries = maxBusyOffers + 1
	// maxQueryPacket is the size of the data in bytes up to which a packet itself is the query
	// for its flow. It saves a round trip, and costs not much more than the query.
	maxQueryPacket = 300
	// undecidedTimeout is how long an agent that has delivered the packet of a lookup has to find
	// out whether its upstream holds the flow: longer than most requests take, since an answer
	// shows it.
	undecidedTimeout = 100 * time.Millisecond
	// maxRetries is how often an upstream is queried again that does not report
	// whether it holds a flow. The timeout doubles each time: half a second in all,
	// in which a host that was paused or flooded answers.
	maxRetries = 3
	// notFoundDelay is the time before the next lookup of a flow that was not found.
	// It is shorter than the callers' minimum retransmission timeout, and doubles
	// with each lookup up to maxNotFoundDelay.
	notFoundDelay    = 150 * time.Millisecond
	maxNotFoundDelay = 1200 * time.Millisecond
	// viewPollInterval is the interval at which a lookup that needs a newer view
	// checks for one: half the beacon interval. maxViewPolls limits the wait to what a
	// beacon takes that says that the view is current.
	viewPollInterval = 50 * time.Millisecond
	maxViewPolls     = 28
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

// queryNext queries the next upstream for the flow. When the likely holders have
// answered that they do not hold it, queryNext queries all others, provided that their
// answers can prove that the flow is gone.
func (d *Dispatcher) queryNext(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	hash := k.Hash()
	for limit := d.maxSerial(now, hash, r); len(f.lookup.attempts) < limit; {
		m := d.nextLikely(now, hash, r, f.lookup)
		if m == nil {
			break
		}
		if f.lookup.packet.size > maxQueryPacket {
			d.queryOne(now, k, f, m)
		} else {
			d.sendPacket(now, r, k, f, m.Address(), Action{Reason: ByRank, Header: gdguard.Header{Confirm: true}})
		}
		if !d.hosts.suspect(now, m.Address()) {
			return
		}
	}
	if !d.triedAll(now, r, f.lookup) && d.mayBroadcast(now, r) {
		d.queryOthers(now, r, k, f)
	}
	if !now.Before(f.lookup.deadline) || f.lookup.allAnswered() {
		d.retryQueries(now, r, k, f)
	}
}

// queryOne queries an upstream without the packet, which would only fill the link.
func (d *Dispatcher) queryOne(now time.Time, k gdflow.Key, f *flow, m *gddiscovery.Member) {
	f.lookup.attempts = append(f.lookup.attempts, attempt{holder: d.holderOf(m), queried: true})
	d.addQuery(now, k, m)
	d.setDeadline(k, f.lookup, now.Add(batchDelay+answerTimeout))
}

// queryOthers queries all upstreams that were not tried yet.
func (d *Dispatcher) queryOthers(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	tried := len(f.lookup.attempts)
	for m := range d.holders(now, r) {
		known := slices.ContainsFunc(f.lookup.attempts[:tried], func(t attempt) bool { return t.address.IP() == m.Address().IP() })
		if !known && (!d.view.SharedHost(m.Address()) || f.lookup.attemptAt(m.Address()) == nil) {
			f.lookup.attempts = append(f.lookup.attempts, attempt{holder: d.holderOf(m), queried: true})
			d.addQuery(now, k, m)
		}
	}
	d.setDeadline(k, f.lookup, now.Add(batchDelay+answerTimeout))
}

// noteWrongService records that the agent of a host is of another service than the one in whose name
// it was asked. If an upstream of another one that can hold the flow is registered on the host,
// it is asked again in the name of that one. A second such answer may be a repeat of the first.
func (d *Dispatcher) noteWrongService(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup, t *attempt) {
	m := d.otherHolder(now, r, t.holder)
	if m == nil || t.renamed {
		t.answered, t.unsure = true, t.renamed
		return
	}
	t.holder, t.queried, t.renamed = d.holderOf(m), true, true
	d.addQuery(now, k, m)
	d.setDeadline(k, l, now.Add(batchDelay+answerTimeout))
}

// retryQueries queries the unresponsive upstreams again. It ends the lookup if
// there are none or they were queried often enough.
func (d *Dispatcher) retryQueries(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	l := f.lookup
	if l.viewPolls < maxViewPolls && d.noneHolds(now, r, l) && !d.viewSuffices(now, l) {
		d.awaitView(now, k, l)
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
			d.repeatQuery(now, k, l, t)
		}
	}
}

// repeatQuery queries an unresponsive upstream again.
func (d *Dispatcher) repeatQuery(now time.Time, k gdflow.Key, l *lookup, t *attempt) {
	m := d.memberOf(t.holder)
	switch {
	case m == nil:
	case t.queried:
		d.addQuery(now, k, m)
	case d.takeProbe(now, l):
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

// sendPacket sends the packet of the lookup to an upstream and starts the timeout.
func (d *Dispatcher) sendPacket(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow, at gdflow.Address, a Action) {
	l := f.lookup
	to := holder{address: at}
	if m := d.view.UpstreamAt(at); m != nil {
		to = d.holderOf(m)
	}
	l.attempts = append(l.attempts, attempt{holder: to, sentAt: now})
	d.setDeadline(k, l, now.Add(answerTimeout))
	if !l.packet.held() {
		return
	}
	a.Key, a.Packet, a.Attempts = k, l.packet.raw, len(l.attempts)
	d.forward(now, r, to, a)
}

// maxFailedLookups is the number of failed lookups after which the delay no longer doubles.
const maxFailedLookups = 4

// markNotFound ends a lookup without a result.
func (d *Dispatcher) markNotFound(now time.Time, k gdflow.Key, f *flow) {
	if at := f.lookup.believed; at != (holder{}) {
		d.believeAgain(now, k, f, at)
		return
	}
	attempts, missing := len(f.lookup.attempts), d.missing(now, f.lookup)
	d.endLookup(f)
	f.state, f.retryAfter = notFound, now.Add(min(notFoundDelay<<f.failedLookups, maxNotFoundDelay))
	f.failedLookups = min(f.failedLookups+1, maxFailedLookups)
	d.add(Action{Verb: Drop, Key: k, Reason: NotFound, Attempts: attempts, Missing: missing})
}

// missing returns what the lookup lacks for a result.
func (d *Dispatcher) missing(now time.Time, l *lookup) Missing {
	m := Missing{After: now.Sub(l.started)}
	for _, t := range l.attempts {
		switch {
		case !t.answered:
			m.Silent++
		case t.unsure:
			m.Unsure++
		}
	}
	if l.requiredRevision > d.view.Revision() {
		m.Required = l.requiredRevision
	}
	return m
}

// packetQuery returns the action that sends the packet of the lookup as a query.
func (l *lookup) packetQuery(k gdflow.Key) Action {
	return Action{Key: k, Packet: l.packet.raw, Attempts: len(l.attempts), Reason: Broadcast, Header: gdguard.Header{Confirm: true}}
}

// enqueue queues a packet until the lookup ends.
func (l *lookup) enqueue(p gdflow.Packet, raw []byte) {
	if l.packet.held() && len(l.pending) < maxPending {
		l.pending = append(l.pending, hold(p, raw))
	}
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
