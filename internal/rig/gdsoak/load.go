package gdsoak

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// burstFactor is how many times as many requests callers send in a burst.
const burstFactor = 3

// loadFaults change what callers send and what upstreams bear.
var loadFaults = []fault{
	{"burst-all", false, func(p *injector, now time.Time) { p.Burst(now, "", "", burstFactor, p.randomDuration()) }},
	{"burst-domain", false, func(p *injector, now time.Time) { p.Burst(now, "", p.randomDomain(), burstFactor, p.randomDuration()) }},
	{"burst-kind", false, func(p *injector, now time.Time) {
		p.Burst(now, pick(p, p.Shape.Classes).Name, "", 2*burstFactor, p.randomDuration())
	}},
	{"narrow-upstream", false, func(p *injector, now time.Time) {
		if all := p.Upstreams(); len(all) > 0 {
			pick(p, all).Narrow(now, 2*p.randomDuration())
		}
	}},
}

// splitFaults change the services that a route's flows are split between.
var splitFaults = []fault{
	{"split", true, (*injector).split},
	{"split-while-away", false, func(p *injector, now time.Time) {
		away := p.randomDuration()
		p.SetStoreFaults(now, nil, "store", platformsim.Faults{Unavailable: true}, away)
		p.split(now)
		p.After(away/2, p.split)
	}},
}

// pendingFaults break a promise whose mechanism is not built yet. They are injected only if
// they are named.
var pendingFaults = []fault{
	{"restore-over-restart", false, (*injector).restoreOverRestart},
}

// split sets new weights of the services of a route. One of them at times gets no new flows,
// or is left out of the configuration.
func (p *injector) split(now time.Time) {
	class, shares := pick(p, p.Shape.Classes), []gddiscovery.Share(nil)
	for _, s := range p.Shape.Services {
		shares = append(shares, gddiscovery.Share{Service: s.Name, Weight: float64(p.Rand().IntN(3))})
	}
	if shares[0].Weight+shares[1].Weight == 0 {
		pick(p, []*gddiscovery.Share{&shares[0], &shares[1]}).Weight = 1
	}
	if p.Rand().IntN(2) == 0 {
		left := pick(p, shares)
		left.Weight = 1
		shares = []gddiscovery.Share{left}
	}
	p.Split(now, class.Name, shares)
}

// restoreOverRestart restarts an upstream and its agent while the store is away, which then
// is restored from a copy that shows the process before.
func (p *injector) restoreOverRestart(now time.Time) {
	const downtime, margin = time.Second, 100 * time.Millisecond
	p.withSpareUpstream(func(u *gdhostrig.Upstream) {
		u.Crash(now, downtime)
		p.RestoreStore(now, minFaultDuration, downtime+margin)
		p.After(downtime-2*margin, func(now time.Time) { p.Kill(now, u.Host()) })
	})
}
