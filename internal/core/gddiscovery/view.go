package gddiscovery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdbackend"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// View is an immutable snapshot of the deployment's state.
type View struct {
	config     *Config
	named      map[string]struct{} // the services that the configuration names
	routes     map[gdflow.Address]*Route
	services   map[string]*Pool
	domainsOut map[string]struct{}
	upstreams  []*Member
	byAddress  map[gdflow.Address]*Member
	displaced  []*Member
	shared     map[[4]byte]struct{} // the hosts with registrations of more than one service
	ignored    int
	history    routeHistories
	revision   Revision
}

// Pool is a service with its upstreams.
type Pool struct {
	service Service
	hash    uint32
	members []*Member
}

// Service returns the configuration of the service.
func (p *Pool) Service() Service { return p.service }

// Hash returns the hash of the service's name, which agents compare.
func (p *Pool) Hash() uint32 { return p.hash }

// Members returns the upstreams in an unspecified order. The caller must not modify
// the slice.
func (p *Pool) Members() []*Member { return p.members }

// Member is an upstream in a view.
type Member struct {
	upstream   Upstream
	revision   Revision
	seed       uint64
	updatedAt  time.Time
	graceUntil time.Time
	removed    bool
	domainOut  bool
	displaced  bool // an upstream of another service is registered in its place
}

// Upstream returns the upstream's registration.
func (m *Member) Upstream() Upstream { return m.upstream }

// Address returns the upstream's address, which is on the host of its agent.
func (m *Member) Address() gdflow.Address { return m.upstream.Address }

// AcceptsNew reports whether the upstream accepts new flows.
func (m *Member) AcceptsNew(now time.Time) bool {
	if m.domainOut || m.upstream.Draining || m.displaced {
		return false
	}
	return !m.removed || now.Before(m.graceUntil)
}

// Removed reports whether the registration was removed, and since when.
func (m *Member) Removed() (time.Time, bool) { return m.updatedAt, m.removed }

// ColdLeft returns how long the upstream stays cold.
func (m *Member) ColdLeft(now time.Time) time.Duration {
	return max(0, m.updatedAt.Add(m.upstream.ColdFor).Sub(now))
}

// Revision returns the revision of the view.
func (v *View) Revision() Revision { return v.revision }

// Version returns the version of the configuration.
func (v *View) Version() uint64 { return v.config.Version }

// IdleTimeout returns how long a flow may be idle before its upstream may drop it.
func (v *View) IdleTimeout() time.Duration { return v.config.IdleTimeout }

// Route returns the route at the address.
func (v *View) Route(a gdflow.Address) (*Route, bool) {
	r, ok := v.routes[a]
	return r, ok
}

// Routes returns the number of routes.
func (v *View) Routes() int { return len(v.routes) }

// Pool returns the pool of the service.
func (v *View) Pool(service string) (*Pool, bool) {
	p, ok := v.services[service]
	return p, ok
}

// Upstreams returns all upstreams, including those that were removed recently.
func (v *View) Upstreams() []*Member { return v.upstreams }

// UpstreamAt returns the upstream at the address, or nil.
func (v *View) UpstreamAt(a gdflow.Address) *Member { return v.byAddress[a] }

// Displaced returns the upstreams that are registered at an address, or under an ID, at which one
// of another service is registered later. The later registration may be that of another writer, so that
// they may still run; they get no new flows.
func (v *View) Displaced() []*Member { return v.displaced }

// DisplacedAt returns the displaced upstream of the service at the address, or nil.
func (v *View) DisplacedAt(a gdflow.Address, service uint32) *Member {
	for _, m := range v.displaced {
		if m.Address() == a && ServiceHash(m.upstream.Service) == service {
			return m
		}
	}
	return nil
}

// SharedHost reports whether upstreams of several services are registered on the host, of which one
// runs.
func (v *View) SharedHost(a gdflow.Address) bool {
	_, ok := v.shared[a.IP()]
	return ok
}

// Ignored returns the number of registrations that are not used, because the configuration does
// not name their service and an upstream of another service is registered on their host.
func (v *View) Ignored() int { return v.ignored }

// DomainsOut returns the number of failure domains that are out.
func (v *View) DomainsOut() int { return len(v.domainsOut) }

// ServiceHash returns the 32-bit hash of a service's name.
func ServiceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// PickService returns the service for a flow with the hash, whatever the upstreams.
func (r *Route) PickService(hash uint64) string { return gdbackend.Pick(r.Shares, hash) }

func (s *State) buildView() *View {
	v := &View{config: s.latestConfig(), revision: s.revision, domainsOut: make(map[string]struct{}), history: s.history}
	v.history.ttl = s.formerTTL()
	for subject, r := range s.records {
		if subject.Kind == Evacuation && !r.change.Removed {
			v.domainsOut[subject.Name] = struct{}{}
		}
	}
	v.routes, v.services = s.routing(v.config)
	v.named = s.namedServices(v.config)
	regs := s.registrations(v.named)
	v.byAddress, v.displaced, v.ignored = regs.latest, regs.displaced, regs.ignored
	v.shared = regs.sharedHosts()
	for _, m := range sorted(v.byAddress) {
		_, m.domainOut = v.domainsOut[m.upstream.Domain]
		v.upstreams = append(v.upstreams, m)
		p := v.poolOf(m)
		p.members = append(p.members, m)
	}
	for _, m := range v.displaced {
		v.poolOf(m)
	}
	return v
}

// poolOf returns the pool of the upstream's service, and creates it if there is none.
func (v *View) poolOf(m *Member) *Pool {
	p, ok := v.services[m.upstream.Service]
	if !ok {
		p = newPool(Service{Name: m.upstream.Service})
		v.services[m.upstream.Service] = p
	}
	return p
}

func newPool(s Service) *Pool { return &Pool{service: s, hash: ServiceHash(s.Name)} }

// routing returns the tables of a configuration. The routes are shared by all
// views of one configuration, because there may be hundreds.
func (s *State) routing(cfg *Config) (map[gdflow.Address]*Route, map[string]*Pool) {
	services := make(map[string]*Pool, len(cfg.Services))
	for _, svc := range cfg.Services {
		services[svc.Name] = newPool(svc)
	}
	if s.view != nil && s.view.config == cfg {
		return s.view.routes, services
	}
	routes := make(map[gdflow.Address]*Route, len(cfg.Routes))
	for i := range cfg.Routes {
		routes[cfg.Routes[i].Address] = &cfg.Routes[i]
	}
	return routes, services
}

// emptyConfig is used before the first configuration is known.
var emptyConfig = &Config{}

func (s *State) latestConfig() *Config {
	if r, ok := s.records[Subject{Kind: Configuration}]; ok {
		return r.change.Config
	}
	return emptyConfig
}

// namedServices returns the services that a configuration names. The set is shared by all views
// of one configuration.
func (s *State) namedServices(cfg *Config) map[string]struct{} {
	if s.view != nil && s.view.config == cfg {
		return s.view.named
	}
	named := make(map[string]struct{}, len(cfg.Services))
	for _, svc := range cfg.Services {
		named[svc.Name] = struct{}{}
	}
	for _, r := range cfg.Routes {
		for _, share := range r.Shares {
			named[share.Service] = struct{}{}
		}
	}
	return named
}

// member returns the upstream of a registration. If the latest one under its ID is of a service
// that is not named, the former one counts as removed instead: the process may still run.
func (r *record) member(named map[string]struct{}) *Member {
	u, removed := r.change.Upstream, r.change.Removed
	if f := r.former; f != nil && !isNamed(named, u) && isNamed(named, f) {
		u, removed = f, true
	}
	return r.memberOf(u, removed)
}

func isNamed(named map[string]struct{}, u *Upstream) bool {
	_, ok := named[u.Service]
	return ok
}

// memberOf returns an upstream that was registered under the record's ID.
func (r *record) memberOf(u *Upstream, removed bool) *Member {
	return &Member{
		upstream: *u, revision: r.change.Revision, seed: seedOf(u.Address),
		updatedAt: r.updatedAt, graceUntil: r.graceUntil, removed: removed,
	}
}

// sorted returns the upstreams in an order that does not depend on the host.
func sorted(byAddress map[gdflow.Address]*Member) []*Member {
	members := make([]*Member, 0, len(byAddress))
	for _, m := range byAddress {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *Member) int { return cmp.Compare(a.seed, b.seed) })
	return members
}

// supersedes reports whether the upstream used the address after the other one. One that states
// its start is preferred to one that does not.
func (m *Member) supersedes(o *Member) bool {
	if m.removed != o.removed {
		return o.removed
	}
	if a, b := m.upstream.StartUnixMilli, o.upstream.StartUnixMilli; a != b {
		return a > b
	}
	return m.revision > o.revision
}

func seedOf(a gdflow.Address) uint64 {
	ip := a.IP()
	return xxhash.Sum64(append(ip[:], byte(a.Port()>>8), byte(a.Port())))
}

// Score returns the upstream's rank for a flow with the hash: the highest score
// ranks first (rendezvous hashing).
func (m *Member) Score(hash uint64) uint64 { return mix(hash ^ m.seed) }

// mix mixes the bits of a number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
