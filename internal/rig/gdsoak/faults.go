package gdsoak

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/rig/gdfaultproxy"
	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// fault is a kind of fault, or of planned work, which is injected like a fault.
type fault struct {
	name string
	// planned is set for the operator's planned work, during which no flow may break.
	planned bool
	inject  func(p *injector, now time.Time)
}

// minFaultDuration and maxFaultDuration bound how long a fault lasts.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// A storm of configurations consists of stormChanges changes at stormInterval.
const (
	stormChanges  = 8
	stormInterval = 150 * time.Millisecond
	stormDuration = stormChanges * stormInterval
)

// minUpstreams is the number of upstreams of a service that are kept running.
const minUpstreams = 2

// injector injects faults in the loop of a rig.
type injector struct {
	*gdhostrig.Rig
	onError func(error)
}

// faults lists all kinds of faults.
var faults = []fault{
	{"terminate-entry", true, func(p *injector, now time.Time) { p.Terminate(now, p.randomEntry()) }},
	{"terminate-agent", true, func(p *injector, now time.Time) { p.Terminate(now, p.randomAgent()) }},
	{"replace", true, func(p *injector, now time.Time) {
		p.withSpareUpstream(func(u *gdhostrig.Upstream) { p.ReplaceUpstream(now, u, false) })
	}},
	{"reuse-address", true, func(p *injector, now time.Time) {
		p.withSpareUpstream(func(u *gdhostrig.Upstream) { p.ReplaceUpstream(now, u, true) })
	}},
	{"scale-in", true, func(p *injector, now time.Time) { p.withSpareUpstream(func(u *gdhostrig.Upstream) { u.Drain(now) }) }},
	{"scale-out", true, (*injector).scaleOut},
	{"add-entry", true, func(p *injector, now time.Time) {
		_, err := p.AddEntry(now, p.randomDomain())
		p.reportError(err)
	}},
	{"config", true, func(p *injector, now time.Time) { p.ChangeConfig(now) }},
	{"config-storm", true, (*injector).configStorm},
	{"domain-out", true, (*injector).domainOut},
	{"settings", true, func(p *injector, now time.Time) { p.Hangup(now, p.randomEntry()) }},
	{"forget-history", true, func(p *injector, now time.Time) { p.DropHistory(now) }},
	{"garbage", true, func(p *injector, now time.Time) { p.PutMalformedUpstream(now) }},

	{"kill-entry", false, func(p *injector, now time.Time) { p.Kill(now, p.randomEntry()) }},
	{"kill-agent", false, func(p *injector, now time.Time) { p.Kill(now, p.randomAgent()) }},
	{"kill-all", false, func(p *injector, now time.Time) {
		for _, h := range append(p.Hosts(gdhostrig.RoleEntry), p.Hosts(gdhostrig.RoleAgent)...) {
			p.Kill(now, h)
		}
	}},
	{"pause-entry", false, func(p *injector, now time.Time) { p.Pause(now, p.randomEntry(), p.randomDuration()) }},
	{"pause-agent", false, func(p *injector, now time.Time) { p.Pause(now, p.randomAgent(), p.randomDuration()) }},
	{"crash", false, func(p *injector, now time.Time) {
		p.withSpareUpstream(func(u *gdhostrig.Upstream) { u.Crash(now, 2*p.randomDuration()) })
	}},
	{"datagram-loss", false, func(p *injector, now time.Time) { p.injectDatagramFaults(now, gdfaultproxy.DatagramFaults{Loss: 0.2}) }},
	{"datagram-twice", false, func(p *injector, now time.Time) {
		p.injectDatagramFaults(now, gdfaultproxy.DatagramFaults{Duplication: 0.3})
	}},
	{"datagram-late", false, func(p *injector, now time.Time) {
		p.injectDatagramFaults(now, gdfaultproxy.DatagramFaults{Reordering: 0.3})
	}},
	{"cut-in", false, func(p *injector, now time.Time) {
		p.injectDatagramFaults(now, gdfaultproxy.DatagramFaults{DropIn: true})
	}},
	{"cut-out", false, func(p *injector, now time.Time) {
		p.injectDatagramFaults(now, gdfaultproxy.DatagramFaults{DropOut: true})
	}},
	{"store-down", false, func(p *injector, now time.Time) { p.injectStoreFaults(now, nil, platformsim.Faults{Unavailable: true}) }},
	{"store-refuses-host", false, func(p *injector, now time.Time) {
		p.injectStoreFaults(now, p.randomEntry(), platformsim.Faults{Unavailable: true})
	}},
	{"store-slow", false, func(p *injector, now time.Time) {
		p.injectStoreFaults(now, nil, platformsim.Faults{Delay: 700 * time.Millisecond})
	}},
	{"store-loses-answers", false, func(p *injector, now time.Time) {
		p.injectStoreFaults(now, nil, platformsim.Faults{DropResponses: true})
	}},
	{"lapse", false, func(p *injector, now time.Time) {
		p.withSpareUpstream(func(u *gdhostrig.Upstream) { u.ExpireRegistration(now, p.randomDuration()) })
	}},
	{"stream-reset", false, func(p *injector, now time.Time) {
		h := p.randomEntry()
		p.ReportFault(now, h, "stream-reset", 0, nil)
		h.StoreProxy().Reset()
	}},
	{"stream-delay", false, func(p *injector, now time.Time) {
		p.injectStreamFaults(now, gdfaultproxy.StreamFaults{Delay: 300 * time.Millisecond})
	}},
	{"stream-hold-in", false, func(p *injector, now time.Time) { p.injectStreamFaults(now, gdfaultproxy.StreamFaults{HoldIn: true}) }},
	{"stream-hold-out", false, func(p *injector, now time.Time) { p.injectStreamFaults(now, gdfaultproxy.StreamFaults{HoldOut: true}) }},
	{"stream-silent", false, func(p *injector, now time.Time) {
		p.injectStreamFaults(now, gdfaultproxy.StreamFaults{HoldIn: true, HoldOut: true})
	}},
}

// faultSet is a set of kinds that came later. It is drawn apart from the others, so that the
// seeds keep the faults that they had.
type faultSet struct {
	// stream selects the random numbers of the set.
	stream uint64
	// meanInterval is the mean time between two faults.
	meanInterval time.Duration
	kinds        []fault
}

// laterSets are the later kinds of faults in the order in which they were added.
var laterSets = []faultSet{
	{stream: 4, meanInterval: 3 * time.Second, kinds: laterFaults},
	{stream: 5, meanInterval: 6 * time.Second, kinds: restoreFaults},
	{stream: 6, meanInterval: 5 * time.Second, kinds: loadFaults},
	{stream: 8, meanInterval: 2 * time.Second, kinds: splitFaults},
}

// pendingSet is drawn only if its faults are named.
var pendingSet = faultSet{stream: 7, meanInterval: 4 * time.Second, kinds: pendingFaults}

// restoreFaults restore the store from a copy.
var restoreFaults = []fault{
	{"restore", false, func(p *injector, now time.Time) { p.RestoreStore(now, 2*p.randomDuration(), p.randomDuration()) }},
	{"restore-twice", false, func(p *injector, now time.Time) {
		away := p.randomDuration()
		p.RestoreStore(now, p.randomDuration(), away)
		p.After(away+p.randomDuration(), func(now time.Time) { p.RestoreStore(now, p.randomDuration(), minFaultDuration) })
	}},
	{"restore-after-change", false, func(p *injector, now time.Time) {
		p.ChangeConfig(now)
		p.domainOut(now)
		p.scaleOut(now)
		p.withSpareUpstream(func(u *gdhostrig.Upstream) { u.Drain(now) })
		p.After(minFaultDuration, func(now time.Time) { p.RestoreStore(now, minFaultDuration+p.randomDuration(), minFaultDuration) })
	}},
	{"restore-after-storm", false, (*injector).restoreAfterStorm},
	{"restore-with-newcomers", false, (*injector).restoreWithNewcomers},
}

// restoreAfterStorm restores the store from a copy that lacks the second half of a series of
// configurations which have taken effect since.
func (p *injector) restoreAfterStorm(now time.Time) {
	const effect = time.Second
	p.configStorm(now)
	p.After(stormDuration+effect, func(now time.Time) {
		p.RestoreStore(now, effect+stormDuration/2, minFaultDuration)
		p.After(minFaultDuration+stableTime+effect, p.ChangeConfig) // the bound applies to it
	})
}

// restoreWithNewcomers restores the store from a copy that lacks a new upstream, which holds
// flows. Entry hosts that start at the same time know only the copy.
func (p *injector) restoreWithNewcomers(now time.Time) {
	const newcomers, effect, restoreMargin = 2, 2 * time.Second, 50 * time.Millisecond
	p.scaleOut(now)
	p.After(effect, func(now time.Time) {
		p.RestoreStore(now, effect+minFaultDuration, minFaultDuration)
	})
	p.After(effect+minFaultDuration+restoreMargin, func(now time.Time) {
		for range newcomers {
			_, err := p.AddEntry(now, p.randomDomain())
			p.reportError(err)
		}
	})
}

// laterFaults slow, cool and cut off parts of the deployment.
var laterFaults = []fault{
	{"slow-upstream", false, func(p *injector, now time.Time) {
		if all := p.Upstreams(); len(all) > 0 {
			pick(p, all).Slow(now, 2*p.randomDuration())
		}
	}},
	{"cold-return", false, (*injector).coldReturn},
	{"one-way-domain", false, (*injector).oneWayDomain},
	{"kill-agents", false, func(p *injector, now time.Time) {
		for i, h := range p.Hosts(gdhostrig.RoleAgent) {
			if i%2 == 0 {
				p.Kill(now, h)
			}
		}
	}},
}

// coldReturn stops all upstreams of a failure domain. They come back together, cold.
func (p *injector) coldReturn(now time.Time) {
	d, downtime := p.randomDomain(), p.randomDuration()
	for _, u := range p.Upstreams() {
		if u.Domain == d {
			u.Crash(now, downtime)
		}
	}
}

// oneWayDomain drops all datagrams from the hosts of a failure domain.
func (p *injector) oneWayDomain(now time.Time) {
	domain, d := p.randomDomain(), p.randomDuration()
	for _, h := range append(p.Hosts(gdhostrig.RoleEntry), p.Hosts(gdhostrig.RoleAgent)...) {
		if h.Domain() != domain {
			continue
		}
		p.SetDatagramFaults(h, gdfaultproxy.DatagramFaults{DropOut: true})
		p.ReportFault(now, h, "one-way", d, func(time.Time) { p.SetDatagramFaults(h, gdfaultproxy.DatagramFaults{}) })
	}
}

// randomDuration returns a random duration of a fault.
func (p *injector) randomDuration() time.Duration {
	return minFaultDuration + time.Duration(p.Rand().Int64N(int64(maxFaultDuration-minFaultDuration)))
}

func (p *injector) randomEntry() *gdhostrig.Host { return pick(p, p.Hosts(gdhostrig.RoleEntry)) }

func (p *injector) randomAgent() *gdhostrig.Host { return pick(p, p.Hosts(gdhostrig.RoleAgent)) }

func (p *injector) randomDomain() string { return pick(p, p.Shape.Domains) }

// pick returns a random element.
func pick[T any](p *injector, all []T) T { return all[p.Rand().IntN(len(all))] }

func (p *injector) reportError(err error) {
	if err != nil {
		p.onError(err)
	}
}

// withSpareUpstream calls stop with a random upstream if its service has more than
// minUpstreams running ones.
func (p *injector) withSpareUpstream(stop func(*gdhostrig.Upstream)) {
	all := p.Upstreams()
	if len(all) == 0 {
		return
	}
	u, running := pick(p, all), 0
	for _, o := range all {
		if o.Service == u.Service {
			running++
		}
	}
	if running > minUpstreams {
		stop(u)
	}
}

func (p *injector) scaleOut(now time.Time) {
	service := pick(p, p.Shape.Services)
	_, err := p.AddUpstream(now, service.Name, p.randomDomain(), true)
	p.reportError(err)
}

func (p *injector) configStorm(now time.Time) {
	for i := range stormChanges {
		p.After(time.Duration(i)*stormInterval, p.ChangeConfig)
	}
}

func (p *injector) domainOut(now time.Time) {
	d := p.randomDomain()
	p.SetDomainOut(now, d, true)
	p.After(domainOutBound+p.randomDuration(), func(now time.Time) { p.SetDomainOut(now, d, false) })
}

func (p *injector) injectDatagramFaults(now time.Time, f gdfaultproxy.DatagramFaults) {
	h, d := pick(p, append(p.Hosts(gdhostrig.RoleEntry), p.Hosts(gdhostrig.RoleAgent)...)), p.randomDuration()
	p.SetDatagramFaults(h, f)
	p.ReportFault(now, h, "datagrams", d, func(time.Time) { p.SetDatagramFaults(h, gdfaultproxy.DatagramFaults{}) })
}

func (p *injector) injectStreamFaults(now time.Time, f gdfaultproxy.StreamFaults) {
	h, d := p.randomEntry(), p.randomDuration()
	h.StoreProxy().SetFaults(f)
	p.ReportFault(now, h, "streams", d, func(time.Time) { h.StoreProxy().SetFaults(gdfaultproxy.StreamFaults{}) })
}

func (p *injector) injectStoreFaults(now time.Time, h *gdhostrig.Host, f platformsim.Faults) {
	p.SetStoreFaults(now, h, "store", f, p.randomDuration())
}

// FaultNames returns the names of all kinds of faults, separated by commas.
func FaultNames() string {
	return strings.Join(lo.Map(append(allFaults(), pendingFaults...), func(f fault, _ int) string { return f.name }), ", ")
}

func allFaults() []fault {
	all := slices.Clone(faults)
	for _, set := range laterSets {
		all = append(all, set.kinds...)
	}
	return all
}
