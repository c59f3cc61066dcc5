package gdroute

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Balancer is the decision core of the balancer. Its zero value drops every
// packet until the first SetView. It is used from one goroutine.
type Balancer struct {
	view *gdconf.View
	// ramps holds the upstreams that came back to taking new flows and have not
	// regained their full share. Invariant: it is empty in steady state.
	ramps map[gdconf.UpstreamID]ramp
	// blocked is true while a paused process has not confirmed its view.
	blocked bool
}

// ramp is the return of one upstream.
type ramp struct {
	since  time.Time
	length time.Duration
}

// share returns which part of its keys the upstream gets at the time, 0 to 1.
func (r ramp) share(now time.Time) float64 {
	return float64(now.Sub(r.since)) / float64(r.length)
}

// SetView puts a configuration in force. Upstreams that took no new flows in
// the view before, or were not there, ramp up from now.
func (b *Balancer) SetView(now time.Time, v *gdconf.View) {
	if b.view != nil {
		b.startRamps(now, v)
	}
	b.view = v
}

// View returns the configuration in force, or nil.
func (b *Balancer) View() *gdconf.View { return b.view }

// Block stops all routing until Unblock: the process was paused and does not
// know whether its view still holds.
func (b *Balancer) Block() { b.blocked = true }

// Unblock ends Block.
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
		return ramp{since: now, length: u.Service().SlowStart()}, true
	}
	r, ramping := b.ramps[u.ID()]
	return r, ramping && r.share(now) < 1
}

// Route decides where the packet goes. It does not allocate.
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
		return b.open(now, s, p.key)
	}
	return middle(s, p.key)
}

// routeToken follows a token after checking it against the view.
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

// open places a new flow on the first upstream of the ranking that takes it. If
// ramps alone leave none, the ramps are passed over: a refusal by all would help
// no upstream, and each agent still guards its own.
func (b *Balancer) open(now time.Time, s *gdconf.Service, key FlowKey) Decision {
	u := first(s, key, func(u *gdconf.Upstream) bool { return u.AcceptsNewFlows() && b.accepts(now, key, u) })
	if u == nil {
		u = first(s, key, (*gdconf.Upstream).AcceptsNewFlows)
	}
	if u == nil {
		return drop(NoUpstream)
	}
	return forward(u, ByRank)
}

// accepts reports whether the upstream's ramp accepts the key. A key that is
// accepted stays so for the rest of the ramp.
func (b *Balancer) accepts(now time.Time, key FlowKey, u *gdconf.Upstream) bool {
	r, ok := b.ramps[u.ID()]
	return !ok || unit(mix(key, u.ID(), rampSalt)) < r.share(now)
}

// middle sends a packet in the middle of a flow to the head of the ranking.
func middle(s *gdconf.Service, key FlowKey) Decision {
	u := first(s, key, domainIn)
	if u == nil {
		return drop(DomainOut)
	}
	return forward(u, ByRank)
}

func domainIn(u *gdconf.Upstream) bool { return !u.DomainOut() }
