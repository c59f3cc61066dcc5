package gddiscovery

import "godwitdrift.example/godwitdrift/internal/core/gdflow"

// registrations are the upstreams that are registered, by what is known of who uses an address.
type registrations struct {
	// latest has one upstream per address, the latest that was there.
	latest map[gdflow.Address]*Member
	// displaced are those at whose address, or under whose ID, one of another service is
	// registered later.
	displaced []*Member
	// ignored counts those that name no upstream to use.
	ignored int
}

// registrations returns the registered upstreams. One of a service that the configuration doesn't
// name, such as that of another writer, is not evidence that the upstream of a named one has left
// the host.
func (s *State) registrations(named map[string]struct{}) *registrations {
	regs := &registrations{latest: make(map[gdflow.Address]*Member)}
	var others []*Member
	hosts := make(map[[4]byte]struct{})
	for subject, r := range s.records {
		if subject.Kind != Registration || r.change.Upstream == nil {
			continue
		}
		m := r.member(named)
		if !isNamed(named, &m.upstream) {
			others = append(others, m)
			continue
		}
		regs.add(m)
		hosts[m.Address().IP()] = struct{}{}
		if f := r.former; f != nil && !m.removed && isNamed(named, f) {
			regs.displaced = append(regs.displaced, r.memberOf(f, false))
		}
	}
	for _, m := range others {
		if _, ok := hosts[m.Address().IP()]; ok {
			regs.ignored++
			continue
		}
		regs.add(m)
	}
	regs.displaced = regs.stillDisplaced()
	return regs
}

// add adds an upstream.
func (regs *registrations) add(m *Member) {
	old, ok := regs.latest[m.Address()]
	if ok && !m.supersedes(old) {
		m, old = old, m
	}
	regs.latest[m.Address()] = m
	if ok && !old.removed {
		regs.displaced = append(regs.displaced, old)
	}
}

// stillDisplaced marks and returns the displaced upstreams of other services than the latest one.
func (regs *registrations) stillDisplaced() []*Member {
	var out []*Member
	for _, m := range regs.displaced {
		if l := regs.latest[m.Address()]; l == nil || l.upstream.Service != m.upstream.Service {
			m.displaced = true
			out = append(out, m)
		}
	}
	return out
}

// sharedHosts returns the hosts on which upstreams of several services are registered.
func (regs *registrations) sharedHosts() map[[4]byte]struct{} {
	shared := make(map[[4]byte]struct{})
	services := make(map[[4]byte]string, len(regs.latest))
	note := func(m *Member) {
		ip := m.Address().IP()
		if service, ok := services[ip]; ok && service != m.upstream.Service {
			shared[ip] = struct{}{}
		}
		services[ip] = m.upstream.Service
	}
	for _, m := range regs.latest {
		if !m.removed {
			note(m)
		}
	}
	for _, m := range regs.displaced {
		note(m)
	}
	return shared
}
