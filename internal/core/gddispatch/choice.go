package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbackend"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// likelyAttempts is how many upstreams of the service that a flow was routed to are asked
// for the flow before the first of the route's other services are.
const likelyAttempts = 2

// nextOffer returns the upstream that is offered the flow next and how, or nil if enough
// have refused it or none is left.
func (d *Dispatcher) nextOffer(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup) (*gddiscovery.Member, Action) {
	m, a := d.chooseOffer(now, r, k, l)
	a.Far = m != nil && d.near.far(now, d.Domain, m.Upstream().Domain)
	return m, a
}

func (d *Dispatcher) chooseOffer(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup) (*gddiscovery.Member, Action) {
	hash := k.Hash()
	services := d.servicesFor(hash, r)
	if len(services) == 0 {
		return nil, Action{}
	}
	own := services[0]
	byRank := Action{Opens: true, Reason: ByRank, Service: own.Service().Name}
	m := d.bestOffer(now, hash, own, l, d.responsive(now))
	if m == nil || l.ownAttempts() >= maxBusyOffers {
		if other, spill := d.nextSpill(now, hash, services, l); other != nil {
			return other, spill
		}
	}
	if l.busyCount() >= maxBusyOffers {
		return nil, Action{}
	}
	if m == nil && l.leastLoaded(now) == nil {
		m = d.bestOffer(now, hash, own, l, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) })
	}
	return m, byRank
}

// responsive returns a filter for upstreams that accept new flows and have responded.
func (d *Dispatcher) responsive(now time.Time) func(*gddiscovery.Member) bool {
	return func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) && !d.hosts.suspect(now, m.Address()) }
}

// servicesFor returns the pools that may get the flow, the chosen one first. Services that
// are neither configured nor have upstreams are left out.
func (d *Dispatcher) servicesFor(hash uint64, r *gddiscovery.Route) []*gddiscovery.Pool {
	if len(r.Shares) == 1 {
		return d.pools([]string{r.Shares[0].Service})
	}
	known := slices.DeleteFunc(slices.Clone(r.Shares), func(s gddiscovery.Share) bool {
		_, ok := d.view.Pool(s.Service)
		return !ok
	})
	return d.pools(gdbackend.Order(known, hash))
}

// pools returns the pools of those services that have one.
func (d *Dispatcher) pools(services []string) []*gddiscovery.Pool {
	out := make([]*gddiscovery.Pool, 0, len(services))
	for _, s := range services {
		if p, ok := d.view.Pool(s); ok {
			out = append(out, p)
		}
	}
	return out
}
