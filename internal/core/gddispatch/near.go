package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// farShare is the part of the latency objective above which the longer round trip to
	// another domain matters to callers, as a divisor.
	farShare = 32
	// maxNearOffers is how many near upstreams are offered a flow before those of far
	// domains are. They take what is too much for the near ones, so that load stays even.
	maxNearOffers = 1
	// minRoundTrips is how many round trips to a domain must be known to tell whether it is far.
	minRoundTrips = 4
	// roundTripTTL is how long the round trips to a domain are remembered. After that, flows
	// go to its upstreams as if it were near, until minRoundTrips are known again.
	roundTripTTL = 10 * time.Second
	// maxDomains limits the domains whose round trips are known.
	maxDomains = 64
)

// roundTrips estimates the round trip from an offer to its answer for the hosts of one domain.
type roundTrips struct {
	low time.Duration // nearly all take longer
	n   int
	at  time.Time // the last one
}

// add adds a round trip. The estimate falls quickly and rises slowly.
func (t *roundTrips) add(now time.Time, took time.Duration) {
	const fall, rise = 4, 32
	if now.Sub(t.at) > roundTripTTL {
		*t = roundTrips{low: took}
	}
	t.n, t.at = t.n+1, now
	if took < t.low {
		t.low -= (t.low - took) / fall
	} else {
		t.low += (took - t.low) / rise
	}
}

func (t *roundTrips) known(now time.Time) bool {
	return t != nil && t.n >= minRoundTrips && now.Sub(t.at) <= roundTripTTL
}

// proximity tells which failure domains are far from the host's own.
type proximity struct {
	domains map[string]*roundTrips
	// objective is the shortest latency objective of the routes that flows were offered
	// for in the last roundTripTTL, the latest at objectiveAt.
	objective   time.Duration
	objectiveAt time.Time
}

func (p *proximity) add(now time.Time, domain string, took, objective time.Duration) {
	if objective > 0 && (objective <= p.objective || p.objective == 0 || now.Sub(p.objectiveAt) > roundTripTTL) {
		p.objective, p.objectiveAt = objective, now
	}
	t, ok := p.domains[domain]
	if !ok {
		if p.domains == nil || len(p.domains) >= maxDomains {
			p.domains = make(map[string]*roundTrips)
		}
		t = &roundTrips{}
		p.domains[domain] = t
	}
	t.add(now, took)
}

// far reports whether the way to the domain costs callers so much more than the one within
// the own domain that a less even load is better.
func (p *proximity) far(now time.Time, own, domain string) bool {
	a, b := p.domains[own], p.domains[domain]
	if domain == own || p.objective == 0 || !a.known(now) || !b.known(now) {
		return false
	}
	return b.low-a.low >= p.objective/farShare
}

// noteRoundTrip records the round trip of an offer.
func (d *Dispatcher) noteRoundTrip(now time.Time, k gdflow.Key, t *attempt) {
	m := d.memberOf(t.holder)
	r, ok := d.view.Route(k.Service())
	if ok && m != nil && d.Domain != "" && !t.answered && !t.sentAt.IsZero() {
		d.near.add(now, m.Upstream().Domain, now.Sub(t.sentAt), r.LatencyObjective)
	}
}

// bestOffer returns the upstream of the pool that is offered a flow next: the first in the
// ranking among the near ones if fewer than maxNearOffers of these have refused it, else
// among the others.
func (d *Dispatcher) bestOffer(now time.Time, hash uint64, p *gddiscovery.Pool, l *lookup, ok func(*gddiscovery.Member) bool) *gddiscovery.Member {
	near := func(m *gddiscovery.Member) bool { return !d.near.far(now, d.Domain, m.Upstream().Domain) }
	if nearOffers(p, l, near) < maxNearOffers {
		if m := d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return ok(m) && near(m) }); m != nil {
			return m
		}
	}
	if m := d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return ok(m) && !near(m) }); m != nil {
		return m
	}
	return d.bestRanked(hash, p, l, ok)
}

// nearOffers returns how many near upstreams of the pool were offered the flow.
func nearOffers(p *gddiscovery.Pool, l *lookup, near func(*gddiscovery.Member) bool) int {
	n := 0
	if len(l.attempts) == 0 {
		return n
	}
	for _, m := range p.Members() {
		if l.attemptAt(m.Address()) != nil && near(m) {
			n++
		}
	}
	return n
}

// bestHolder returns the upstream of the pool that is asked for a flow next: where domains are
// far, the first of the own domain, of each other one, and so on, because the host that opened
// the flow may have been in any.
//
// Upstreams that accept no new flows don't count as the first: the host that opened the flow
// may have passed over them.
func (d *Dispatcher) bestHolder(now time.Time, hash uint64, p *gddiscovery.Pool, l *lookup) *gddiscovery.Member {
	if d.Domain == "" || l.attemptsAt(p) >= maxSerialQueries || !d.mayPreferNear(p) {
		return d.bestRanked(hash, p, l, anyMember)
	}
	asked := make(map[string]int)
	for _, m := range p.Members() {
		if m.AcceptsNew(now) && l.attemptAt(m.Address()) != nil {
			asked[m.Upstream().Domain]++
		}
	}
	if asked[d.Domain] == 0 {
		if m := d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return m.Upstream().Domain == d.Domain }); m != nil {
			return m
		}
	}
	for n := range maxSerialQueries {
		if m := d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return asked[m.Upstream().Domain] <= n }); m != nil {
			return m
		}
	}
	return d.bestRanked(hash, p, l, anyMember)
}

// mayPreferNear reports whether hosts may prefer near upstreams of the pool: a domain of it is
// far, or it is not known.
func (d *Dispatcher) mayPreferNear(p *gddiscovery.Pool) bool {
	for _, m := range p.Members() {
		domain := m.Upstream().Domain
		t := d.near.domains[domain]
		if t == nil || t.n < minRoundTrips || d.near.far(t.at, d.Domain, domain) {
			return true
		}
	}
	return false
}
