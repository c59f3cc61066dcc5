package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// broadcastsPerSecond and broadcastBurst limit the lookups that query all
	// upstreams, which prove that a flow is gone. After a power loss all flows are
	// looked up at once, over links of 10 Mbit/s, and the queries take 1 kB for
	// 40 upstreams.
	broadcastsPerSecond = 500
	broadcastBurst      = 250
	// maxViewAge is the maximum age of a view at which all upstreams are queried for a flow.
	maxViewAge = 2500 * time.Millisecond
	// removalGrace is the time after its removal from the view at which an
	// unresponsive upstream counts as gone: the time that the users' requirements
	// give a running one to register again after an outage.
	removalGrace = 2 * time.Second
	// agentMemory is how long agents of older builds remember a flow without packets.
	agentMemory = 15 * time.Second
)

// mayForget reports whether an agent that has forgotten idle flows says that its upstream does
// not hold them, although the configuration lets them be idle for as long.
func (d *Dispatcher) mayForget() bool { return d.view.IdleTimeout() > agentMemory }

// mayBeHeldAfter reports whether the upstream may hold the flow of a packet that its agent has
// returned. Agents of older builds don't say whether they have forgotten it, or would not know.
func (d *Dispatcher) mayBeHeldAfter(info ReturnInfo) bool {
	return info.Reason == gdguard.NotHeld && (d.mayForget() || d.view.SharedHost(info.From))
}

// mayBroadcast reports whether all upstreams that can hold a flow of the route may be queried: their
// answers can prove that the flow is gone, because none is known to be unresponsive
// unless its host can't be reached, and the rate limit of such lookups is not exceeded.
func (d *Dispatcher) mayBroadcast(now time.Time, r *gddiscovery.Route) bool {
	if !d.viewListsAll(now) {
		return false
	}
	for m := range d.holders(now, r) {
		if d.hosts.suspect(now, m.Address()) && !removedLongAgo(now, m) && !d.givesUp(now, r, m.Address()) {
			return false
		}
	}
	return d.broadcasts.take(now, broadcastsPerSecond, broadcastBurst, 1)
}

// viewListsAll reports whether the view is likely to list all upstreams that may hold a flow: it is
// recent, and no upstream still has to register again at a restored source.
func (d *Dispatcher) viewListsAll(now time.Time) bool {
	return now.Sub(d.confirmed) <= maxViewAge && !now.Before(d.settledAt)
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
	a := Action{Verb: Reset, Key: k, Seq: f.lookup.ack, Reason: FlowGone, Attempts: len(f.lookup.attempts)}
	if f.lookup.ofReset {
		a.Verb = Drop
	}
	d.endLookup(f)
	f.state = gone
	d.add(a)
}

// provesGone reports whether the lookup has proved that no upstream holds the flow: none of the view
// does, and the view lists them all.
func (d *Dispatcher) provesGone(now time.Time, r *gddiscovery.Route, l *lookup) bool {
	return d.noneHolds(now, r, l) && d.viewSuffices(now, l)
}

// viewSuffices reports whether the view lists each upstream that may hold the flow of the lookup. A flow that
// was opened through another host may be at an upstream of which this one has not heard yet.
func (d *Dispatcher) viewSuffices(now time.Time, l *lookup) bool {
	return d.verifiedSince(now, l.started) && !d.viewBehind(l)
}

// noneHolds reports whether no upstream of the view holds the flow of the lookup: each one that could
// hold it has answered that it does not, or its host can't be reached and the route's requests may be
// sent again.
func (d *Dispatcher) noneHolds(now time.Time, r *gddiscovery.Route, l *lookup) bool {
	if len(l.attempts) == 0 || !d.triedAll(now, r, l) {
		return false
	}
	for _, t := range l.attempts {
		// Who has the address now does not matter: the query was not answered.
		if m := d.view.UpstreamAt(t.address); (!t.answered || t.unsure) && m != nil && !removedLongAgo(now, m) && !d.givesUp(now, r, t.address) {
			return false
		}
	}
	return true
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
