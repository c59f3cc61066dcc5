package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// nextOffer returns the upstream that is offered the flow next, or nil if enough have
// refused it or none is left.
func (d *Dispatcher) nextOffer(now time.Time, r *gddiscovery.Route, k gdflow.Key, l *lookup) *gddiscovery.Member {
	hash := k.Hash()
	p, ok := d.view.Pool(r.PickService(hash))
	if !ok || l.busyCount() >= maxBusyOffers {
		return nil
	}
	m := d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) && !d.hosts.suspect(now, m.Address()) })
	if m == nil && l.leastLoaded(now) == nil {
		m = d.bestRanked(hash, p, l, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) })
	}
	return m
}
