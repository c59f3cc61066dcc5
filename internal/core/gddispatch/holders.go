package gddispatch

import (
	"iter"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// maxSerialPicked is for how many of the services that the versions of a route pick for a flow
// maxSerialQueries upstreams are queried one after the other.
const maxSerialPicked = 2

// A flow stays where the configuration of its opening had sent it. The upstreams that can
// hold a flow of a route are therefore those of each service that the route had in a recent
// configuration, and all upstreams where this host can't know these configurations.

// services yields each service that can hold flows of the route: those of the configuration
// in force first, then those of former ones.
func (d *Dispatcher) services(now time.Time, r *gddiscovery.Route) iter.Seq[*gddiscovery.Pool] {
	return func(yield func(*gddiscovery.Pool) bool) {
		var seen []string
		for version := range d.versions(now, r) {
			for _, share := range version.Shares {
				if slices.Contains(seen, share.Service) {
					continue
				}
				seen = append(seen, share.Service)
				if p, ok := d.view.Pool(share.Service); ok && !yield(p) {
					return
				}
			}
		}
	}
}

// hadService reports whether the service, by its hash, is one that the route is known to have or
// to have had. Upstreams of others get queries for its flows, but no packets.
func (d *Dispatcher) hadService(now time.Time, r *gddiscovery.Route, service uint32) bool {
	for p := range d.services(now, r) {
		if p.Hash() == service {
			return true
		}
	}
	return false
}

// versions yields the route and its former versions, the latest first.
func (d *Dispatcher) versions(now time.Time, r *gddiscovery.Route) iter.Seq[*gddiscovery.Route] {
	return func(yield func(*gddiscovery.Route) bool) {
		if !yield(r) {
			return
		}
		for former := range d.view.FormerRoutes(now, r.Address) {
			if !yield(former) {
				return
			}
		}
	}
}

// holders yields the upstreams that can hold a flow of the route.
func (d *Dispatcher) holders(now time.Time, r *gddiscovery.Route) iter.Seq[*gddiscovery.Member] {
	return func(yield func(*gddiscovery.Member) bool) {
		known := d.view.KnowsFormerRoutes(now)
		for _, m := range d.view.Displaced() {
			if (!known || d.hadService(now, r, gddiscovery.ServiceHash(m.Upstream().Service))) && !yield(m) {
				return
			}
		}
		if !known {
			for _, m := range d.view.Upstreams() {
				if !yield(m) {
					return
				}
			}
			return
		}
		for p := range d.services(now, r) {
			for _, m := range p.Members() {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// picked yields the service that the route sends the flow to, and those that its former
// versions would have sent it to.
func (d *Dispatcher) picked(now time.Time, hash uint64, r *gddiscovery.Route) iter.Seq[*gddiscovery.Pool] {
	return func(yield func(*gddiscovery.Pool) bool) {
		var seen []string
		for version := range d.versions(now, r) {
			service := version.PickService(hash)
			if slices.Contains(seen, service) {
				continue
			}
			seen = append(seen, service)
			if p, ok := d.view.Pool(service); ok && !yield(p) {
				return
			}
		}
	}
}

// maxSerial returns how many upstreams are queried one after the other for a flow.
func (d *Dispatcher) maxSerial(now time.Time, hash uint64, r *gddiscovery.Route) int {
	n := 0
	for p := range d.picked(now, hash, r) {
		n += maxSerialQueries
		if d.Domain != "" && d.mayPreferNear(p) {
			n += maxSerialQueries // the first ones of each domain
		}
	}
	return min(n, maxSerialPicked*maxSerialQueries)
}

// nextLikely returns the next upstream that is likely to hold the flow: the best ranked ones
// of the services that the route and its former versions pick for it, by turns, the first of
// each other service, to which the flow may have been spilled, and then the others by rank. It returns nil if all of these were tried.
func (d *Dispatcher) nextLikely(now time.Time, hash uint64, r *gddiscovery.Route, l *lookup) *gddiscovery.Member {
	var next *gddiscovery.Member
	fewest := 0
	for p := range d.picked(now, hash, r) {
		if n := l.attemptsAt(p); next == nil || n < fewest {
			if m := d.bestHolder(now, hash, p, l); m != nil {
				next, fewest = m, n
			}
		}
	}
	if next != nil && fewest < likelyAttempts {
		return next
	}
	for p := range d.services(now, r) {
		if m := d.bestHolder(now, hash, p, l); m != nil && (next == nil || l.attemptsAt(p) == 0) {
			return m
		}
	}
	return next
}

// attemptsAt returns how many upstreams of the service were tried.
func (l *lookup) attemptsAt(p *gddiscovery.Pool) int {
	n := 0
	for _, t := range l.attempts {
		if t.service == p.Hash() {
			n++
		}
	}
	return n
}

// triedAll reports whether each upstream that can hold the flow was tried.
func (d *Dispatcher) triedAll(now time.Time, r *gddiscovery.Route, l *lookup) bool {
	for m := range d.holders(now, r) {
		if l.attemptAt(m.Address()) == nil {
			return false
		}
	}
	return true
}

// otherHolder returns an upstream on the host that can hold a flow of the route, of another service
// than the one in whose name the host was asked, or nil.
func (d *Dispatcher) otherHolder(now time.Time, r *gddiscovery.Route, asked holder) *gddiscovery.Member {
	for m := range d.holders(now, r) {
		if h := d.holderOf(m); h.address.IP() == asked.address.IP() && h.service != asked.service {
			return m
		}
	}
	return nil
}

func anyMember(*gddiscovery.Member) bool { return true }

// holder identifies the upstream of a flow. Its address may go to another service, whose
// upstream gets no packet of the flow.
type holder struct {
	address gdflow.Address
	service uint32 // the hash of the service's name
}

func (d *Dispatcher) holderOf(m *gddiscovery.Member) holder {
	p, _ := d.view.Pool(m.Upstream().Service)
	return holder{address: m.Address(), service: p.Hash()}
}

// memberOf returns the upstream, or nil if its address is not in the view or belongs to
// another service.
func (d *Dispatcher) memberOf(h holder) *gddiscovery.Member {
	m := d.view.UpstreamAt(h.address)
	if m == nil || d.holderOf(m) != h {
		return d.view.DisplacedAt(h.address, h.service)
	}
	return m
}

// holderOn returns the upstream on the host, whose agent has reported that it holds the flow.
func (d *Dispatcher) holderOn(f *flow, host gdflow.Address) holder {
	if f.lookup != nil {
		if t := f.lookup.attemptAt(host); t != nil && t.service != 0 {
			return t.holder
		}
	}
	for _, m := range d.view.Upstreams() {
		if m.Address().IP() == host.IP() {
			return d.holderOf(m)
		}
	}
	return holder{address: host}
}

// inForce reports whether the configuration in force sends flows of the route to the
// upstream's service.
func inForce(r *gddiscovery.Route, m *gddiscovery.Member) bool {
	for _, share := range r.Shares {
		if share.Service == m.Upstream().Service {
			return true
		}
	}
	return false
}
