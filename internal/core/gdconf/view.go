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

// UpstreamID identifies an upstream, and the agent beside it.
type UpstreamID uint32

// Version orders configurations. Two configurations with the same revision are
// ordered by digest, so that all processes keep the same one of two that were
// published at once.
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

// Digest returns the hash of the canonical encoding.
func (v Version) Digest() uint64 { return v.digest }

// Compare returns -1, 0 or 1 as v is before, the same as or after w.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.revision, w.revision); c != 0 {
		return c
	}
	return cmp.Compare(v.digest, w.digest)
}

func (v Version) String() string { return fmt.Sprintf("%d-%016x", v.revision, v.digest) }

// View is a configuration in force. It is immutable.
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

// New checks the deployment and builds its view. On an error nothing is built.
func New(d config.Deployment) (*View, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration for its digest")
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
	// Check has parsed each address already.
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
// must not change what it refers to.
func (v *View) Deployment() config.Deployment { return v.deployment }

// Version returns the configuration's version.
func (v *View) Version() Version { return v.version }

// ServiceCount returns the number of services.
func (v *View) ServiceCount() int { return len(v.services) }

// UpstreamCount returns the number of upstreams.
func (v *View) UpstreamCount() int { return len(v.upstreams) }

// Service returns the service with the identifier.
func (v *View) Service(id ServiceID) (*Service, bool) {
	s, ok := v.services[id]
	return s, ok
}

// ServiceByAddress returns the service with the public address.
func (v *View) ServiceByAddress(a netip.AddrPort) (*Service, bool) {
	s, ok := v.addresses[a]
	return s, ok
}

// Upstream returns the upstream with the identifier.
func (v *View) Upstream(id UpstreamID) (*Upstream, bool) {
	u, ok := v.upstreams[id]
	return u, ok
}

// UpstreamByAgent returns the upstream whose agent has the address.
func (v *View) UpstreamByAgent(a netip.AddrPort) (*Upstream, bool) {
	u, ok := v.agents[a]
	return u, ok
}

// ID returns the service's identifier.
func (s *Service) ID() ServiceID { return ServiceID(s.spec.ID) }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// Address returns the public address.
func (s *Service) Address() netip.AddrPort { return s.address }

// Upstreams returns all configured upstreams. Callers must not change the slice.
func (s *Service) Upstreams() []*Upstream { return s.upstreams }

// Routes returns the paths with a priority of their own.
func (s *Service) Routes() []config.Route { return s.spec.Routes }

// Priority returns the service's own priority; 1 goes first.
func (s *Service) Priority() int { return s.spec.Priority }

// DrainTimeout returns the time that a leaving or stopping upstream has to finish.
func (s *Service) DrainTimeout() time.Duration {
	return seconds(s.spec.DrainSeconds, config.DefaultDrainSeconds)
}

// SlowStart returns the time over which a returning upstream regains its full share.
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

// Domain returns the name of its failure domain.
func (u *Upstream) Domain() string { return u.spec.Domain }

// Service returns the service to which it belongs.
func (u *Upstream) Service() *Service { return u.service }

// AgentAddress returns the address of its agent.
func (u *Upstream) AgentAddress() netip.AddrPort { return u.agent }

// Slots returns the number of requests that it runs at the same time.
func (u *Upstream) Slots() int { return u.spec.Slots }

// Weight returns its share of new flows, 1 by default.
func (u *Upstream) Weight() float64 {
	if u.spec.Weight == 0 {
		return 1
	}
	return u.spec.Weight
}

// Leaving reports whether it gets no new work while its flows live on.
func (u *Upstream) Leaving() bool { return u.spec.State == config.StateLeaving }

// DomainOut reports whether its failure domain must get no packet at all.
func (u *Upstream) DomainOut() bool { return u.domainOut }

// AcceptsNewFlows reports whether new flows may be placed on it.
func (u *Upstream) AcceptsNewFlows() bool { return !u.Leaving() && !u.domainOut }
