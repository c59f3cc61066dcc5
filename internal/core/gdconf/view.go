package gdconf

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

// ServiceID identifies a service in tokens and envelopes.
type ServiceID uint16

// UpstreamID identifies an upstream and its agent.
type UpstreamID uint32

// Version orders configurations. Two configurations with the same revision are
// ordered by digest, so that all processes choose the same one if two were
// published with one revision.
type Version struct {
	revision uint64
	digest   uint64
}

// NewVersion returns the version with the given revision and digest.
func NewVersion(revision, digest uint64) Version {
	return Version{revision: revision, digest: digest}
}

// Revision returns the operator's revision number.
func (v Version) Revision() uint64 { return v.revision }

// Digest returns the hash of the canonical encoding of the configuration.
func (v Version) Digest() uint64 { return v.digest }

// Compare returns -1, 0 or 1 if v is lower than, equal to or higher than w.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.revision, w.revision); c != 0 {
		return c
	}
	return cmp.Compare(v.digest, w.digest)
}

func (v Version) String() string { return fmt.Sprintf("%d-%016x", v.revision, v.digest) }

// View is a validated configuration. It is immutable.
type View struct {
	deployment config.Deployment
	version    Version
	services   map[ServiceID]*Service
	addresses  map[netip.AddrPort]*Service
	upstreams  map[UpstreamID]*Upstream
	agents     map[netip.AddrPort]*Upstream
}

// Service is one service of a view.
type Service struct {
	spec      config.Service
	address   netip.AddrPort
	upstreams []*Upstream
}

// Upstream is one upstream of a view.
type Upstream struct {
	spec      config.Upstream
	service   *Service
	agent     netip.AddrPort
	domainOut bool
}

// New validates the deployment and builds its view.
func New(d config.Deployment) (*View, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration to compute its digest")
	}
	v := &View{
		deployment: d,
		version:    NewVersion(d.Revision, xxhash.Sum64(data)),
		services:   make(map[ServiceID]*Service, len(d.Services)),
		addresses:  make(map[netip.AddrPort]*Service, len(d.Services)),
		upstreams:  make(map[UpstreamID]*Upstream),
		agents:     make(map[netip.AddrPort]*Upstream),
	}
	out := outDomains(d.Domains)
	for _, s := range d.Services {
		v.addService(s, out)
	}
	return v, nil
}

func outDomains(domains []config.Domain) map[string]bool {
	out := make(map[string]bool, len(domains))
	for _, d := range domains {
		out[d.Name] = d.State == config.StateOut
	}
	return out
}

func (v *View) addService(spec config.Service, out map[string]bool) {
	// New has validated all addresses.
	s := &Service{spec: spec, address: netip.MustParseAddrPort(spec.Address)}
	for _, u := range spec.Upstreams {
		up := &Upstream{
			spec:      u,
			service:   s,
			agent:     netip.MustParseAddrPort(u.Agent),
			domainOut: out[u.Domain],
		}
		s.upstreams = append(s.upstreams, up)
		v.upstreams[up.ID()] = up
		v.agents[up.agent] = up
	}
	v.services[s.ID()] = s
	v.addresses[s.address] = s
}

// Deployment returns the configuration from which the view was built. Callers
// must not modify it.
func (v *View) Deployment() config.Deployment { return v.deployment }

// Version returns the configuration's version.
func (v *View) Version() Version { return v.version }

// ServiceCount returns the number of services.
func (v *View) ServiceCount() int { return len(v.services) }

// UpstreamCount returns the number of upstreams.
func (v *View) UpstreamCount() int { return len(v.upstreams) }

// Service returns the service with the given identifier.
func (v *View) Service(id ServiceID) (*Service, bool) {
	s, ok := v.services[id]
	return s, ok
}

// ServiceByAddress returns the service with the given service address.
func (v *View) ServiceByAddress(a netip.AddrPort) (*Service, bool) {
	s, ok := v.addresses[a]
	return s, ok
}

// Upstream returns the upstream with the given identifier.
func (v *View) Upstream(id UpstreamID) (*Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// UpstreamByAgent returns the upstream whose agent has the given address.
func (v *View) UpstreamByAgent(a netip.AddrPort) (*Upstream, bool) {
	u, ok := v.agents[a]
	return u, ok
}

// ID returns the service's identifier.
func (s *Service) ID() ServiceID { return ServiceID(s.spec.ID) }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// Address returns the service address, to which callers send.
func (s *Service) Address() netip.AddrPort { return s.address }

// Upstreams returns all configured upstreams. Callers must not modify the
// slice.
func (s *Service) Upstreams() []*Upstream { return s.upstreams }

// Routes returns the path prefixes that have their own priority.
func (s *Service) Routes() []config.Route { return s.spec.Routes }

// Priority returns the priority of the service; 1 is the highest.
func (s *Service) Priority() int { return s.spec.Priority }

// DrainTimeout returns how long a leaving or stopping upstream may take to
// finish its flows.
func (s *Service) DrainTimeout() time.Duration {
	return seconds(s.spec.DrainSeconds, config.DefaultDrainSeconds)
}

// SlowStart returns the duration of slow start, over which the share of new
// flows of a returning upstream grows to its full value.
func (s *Service) SlowStart() time.Duration {
	return seconds(s.spec.RampSeconds, config.DefaultRampSeconds)
}

func seconds(n, fallback int) time.Duration {
	if n == 0 {
		n = fallback
	}
	return time.Duration(n) * time.Second
}

// ID returns the upstream's identifier.
func (u *Upstream) ID() UpstreamID { return UpstreamID(u.spec.ID) }

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.spec.Name }

// Domain returns the name of the upstream's failure domain.
func (u *Upstream) Domain() string { return u.spec.Domain }

// Service returns the service to which the upstream belongs.
func (u *Upstream) Service() *Service { return u.service }

// AgentAddress returns the address of the upstream's agent.
func (u *Upstream) AgentAddress() netip.AddrPort { return u.agent }

// Slots returns the number of requests that the upstream runs concurrently.
func (u *Upstream) Slots() int { return u.spec.Slots }

// Weight returns the upstream's relative share of new flows, 1 by default.
func (u *Upstream) Weight() float64 {
	if u.spec.Weight == 0 {
		return 1
	}
	return u.spec.Weight
}

// Leaving reports whether the upstream is draining: it gets no new flows, but
// its existing flows continue.
func (u *Upstream) Leaving() bool { return u.spec.State == config.StateLeaving }

// DomainOut reports whether the upstream's failure domain is out of service, so
// that no packet may be sent to the upstream.
func (u *Upstream) DomainOut() bool { return u.domainOut }

// AcceptsNewFlows reports whether new flows may be sent to the upstream.
func (u *Upstream) AcceptsNewFlows() bool { return !u.Leaving() && !u.domainOut }
