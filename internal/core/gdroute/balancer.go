package gdroute

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Balancer is the decision core of the balancer. The zero value drops every packet
// until the first call to SetView. It may be used by one goroutine only.
type Balancer struct {
	view *gdconf.View
	// ramps holds the upstreams that accept new flows again and are still in slow
	// start. Invariant: it is empty in steady state.
	ramps map[gdconf.UpstreamID]ramp
	// blocked is true while a paused process has not confirmed its view.
	blocked bool
}

// ramp is the slow start of one upstream.
type ramp struct {
	start    time.Time
	duration time.Duration
}

// share returns the fraction of its keys, 0 to 1, that the upstream gets at now.
func (r ramp) share(now time.Time) float64 {
	return float64(now.Sub(r.start)) / float64(r.duration)
}

// SetView replaces the view. Upstreams that were absent from the previous view, or
// accepted no new flows in it, begin a slow start at now.
func (b *Balancer) SetView(now time.Time, v *gdconf.View) {
	if b.view != nil {
		b.startRamps(now, v)
	}
	b.view = v
}

// View returns the current view, or nil.
func (b *Balancer) View() *gdconf.View { return b.view }

// Block makes Route drop every packet until Unblock. It is called when the process
// was paused and its view may be outdated.
func (b *Balancer) Block() { b.blocked = true }

// Unblock ends the effect of Block.
func (b *Balancer) Unblock() { b.blocked = false }

func (b *Balancer) startRamps(now time.Time, v *gdconf.View) {
	next := make(map[gdconf.UpstreamID]ramp)
	for _, s := range v.Deployment().Services {
		svc, _ := v.Service(gdconf.ServiceID(s.ID))
		for _, u := range svc.Upstreams() {
			if r, ok := b.rampOf(now, u); ok {
				next[u.ID()] = r
			}
		}
	}
	b.ramps = next
}

// rampOf returns the ramp of an upstream of a new view, if it needs one.
func (b *Balancer) rampOf(now time.Time, u *gdconf.Upstream) (ramp, bool) {
	if !u.AcceptsNewFlows() {
		return ramp{}, false
	}
	old, known := b.view.Upstream(u.ID())
	if !known || !old.AcceptsNewFlows() {
		return ramp{start: now, duration: u.Service().SlowStart()}, true
	}
	r, ramping := b.ramps[u.ID()]
	return r, ramping && r.share(now) < 1
}

// Route decides where a packet goes. It does not allocate.
func (b *Balancer) Route(now time.Time, p Packet) Decision {
	if b.view == nil || b.blocked {
		return drop(NotReady)
	}
	s, ok := b.view.Service(p.service)
	if !ok {
		return drop(UnknownService)
	}
	if p.hasToken {
		return routeToken(b.view, p)
	}
	if p.opening {
		return b.routeOpening(now, s, p.key)
	}
	return routeMidFlow(s, p.key)
}

// routeToken routes a packet by its token after checking the token against the
// view.
func routeToken(v *gdconf.View, p Packet) Decision {
	if p.token.Service() != p.service {
		return drop(WrongService)
	}
	u, ok := v.Upstream(p.token.Upstream())
	if !ok {
		return drop(UnknownUpstream)
	}
	if u.Service().ID() != p.service {
		return drop(WrongService)
	}
	if u.DomainOut() {
		return drop(DomainOut)
	}
	return forward(u, ByToken)
}

// routeOpening routes a new flow to the first upstream of the ranking that accepts
// it. If the ramps exclude every upstream, it ignores them: refusing the flow
// everywhere would help no upstream, and each agent still protects its own.
func (b *Balancer) routeOpening(now time.Time, s *gdconf.Service, key FlowKey) Decision {
	u := firstInRanking(s, key, func(u *gdconf.Upstream) bool { return u.AcceptsNewFlows() && b.rampAccepts(now, key, u) })
	if u == nil {
		u = firstInRanking(s, key, (*gdconf.Upstream).AcceptsNewFlows)
	}
	if u == nil {
		return drop(NoUpstream)
	}
	return forward(u, ByRank)
}

// rampAccepts reports whether the upstream's ramp accepts the key. Once accepted, a
// key is accepted for the rest of the ramp.
func (b *Balancer) rampAccepts(now time.Time, key FlowKey, u *gdconf.Upstream) bool {
	r, ok := b.ramps[u.ID()]
	return !ok || unitInterval(hash(key, u.ID(), rampSalt)) < r.share(now)
}

// routeMidFlow routes a packet of an established flow to the first upstream of the
// ranking whose failure domain is in service.
func routeMidFlow(s *gdconf.Service, key FlowKey) Decision {
	u := firstInRanking(s, key, domainInService)
	if u == nil {
		return drop(DomainOut)
	}
	return forward(u, ByRank)
}

func domainInService(u *gdconf.Upstream) bool { return !u.DomainOut() }
