package gdsync

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// State is one complete and valid configuration with the encoded values of its
// services. It is immutable, so that goroutines can share it. States share the
// entries of services that did not change.
type State struct {
	index       config.Index
	entries     []*entry
	view        *gdconf.View
	version     gdconf.Version
	fingerprint uint64
}

// entry is the value of one service, encoded and parsed.
type entry struct {
	name    string
	digest  string
	data    []byte
	service config.Service
}

func newEntry(name string, data []byte) (*entry, error) {
	s, err := config.ParseService(data)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s", name)
	}
	if s.Name != name {
		return nil, errors.Errorf("service %s: value is for service %q", name, s.Name)
	}
	return &entry{name: name, digest: config.Digest(data), data: data, service: s}, nil
}

// newState validates the whole configuration and builds its view.
func newState(idx config.Index, entries []*entry) (*State, error) {
	services := make([]config.Service, len(entries))
	for i, e := range entries {
		services[i] = e.service
	}
	d := config.Deployment{
		Name: idx.Name, Revision: idx.Revision, TokenKeys: idx.TokenKeys,
		Domains: idx.Domains, Services: services,
	}
	v, err := gdconf.New(d)
	if err != nil {
		return nil, err
	}
	s := &State{index: idx, entries: entries, view: v, version: v.Version()}
	s.fingerprint = fingerprint(idx)
	return s, nil
}

// fingerprint identifies an index before the values of its services have been
// read. Each row contains the digest of its value, so the fingerprint covers
// the values too.
func fingerprint(idx config.Index) uint64 {
	data, err := cbor.Marshal(idx)
	if err != nil {
		return 0 // unreachable: an index is plain data, which always encodes
	}
	return xxhash.Sum64(data)
}

// View returns the view of the configuration.
func (s *State) View() *gdconf.View { return s.view }

// Version returns the version of the configuration.
func (s *State) Version() gdconf.Version {
	if s == nil {
		return gdconf.Version{}
	}
	return s.version
}

// entriesByName returns the entries, keyed by service name.
func (s *State) entriesByName() map[string]*entry {
	if s == nil {
		return map[string]*entry{}
	}
	m := make(map[string]*entry, len(s.entries))
	for _, e := range s.entries {
		m[e.name] = e
	}
	return m
}

func (s *State) names() []string {
	names := make([]string, len(s.entries))
	for i, e := range s.entries {
		names[i] = e.name
	}
	return names
}

// update returns the difference from base, or a snapshot if base is nil.
func (s *State) update(base *State) Update {
	v, b := s.Version(), base.Version()
	u := Update{
		Revision: v.Revision(), Digest: v.Digest(),
		BaseRevision: b.Revision(), BaseDigest: b.Digest(),
		Name: s.index.Name, TokenKeys: s.index.TokenKeys, Domains: s.index.Domains,
	}
	old := base.entriesByName()
	for _, e := range s.entries {
		if o, ok := old[e.name]; !ok || o.digest != e.digest {
			u.Values = append(u.Values, ServiceValue{Name: e.name, Data: e.data})
		}
		delete(old, e.name)
	}
	if base == nil {
		return u
	}
	for _, e := range base.entries {
		if _, gone := old[e.name]; gone {
			u.Removed = append(u.Removed, e.name)
		}
	}
	if names := s.names(); !slices.Equal(orderAfter(base, u), names) {
		u.Order = names
	}
	return u
}

// orderAfter returns the order of the services that results from applying the
// update's replacements, removals and additions to base.
func orderAfter(base *State, u Update) []string {
	gone := make(map[string]bool, len(u.Removed))
	for _, name := range u.Removed {
		gone[name] = true
	}
	var names []string
	have := make(map[string]bool, len(u.Values))
	if base != nil {
		for _, e := range base.entries {
			have[e.name] = true
			if !gone[e.name] {
				names = append(names, e.name)
			}
		}
	}
	for _, v := range u.Values {
		if !have[v.Name] {
			names = append(names, v.Name)
		}
	}
	return names
}

// apply returns the state that results from applying the update to s. It fails
// if the result does not have the version that the update states.
func (s *State) apply(u Update) (*State, error) {
	entries := s.entriesByName()
	for _, v := range u.Values {
		e, err := newEntry(v.Name, v.Data)
		if err != nil {
			return nil, err
		}
		entries[v.Name] = e
	}
	order := u.Order
	if order == nil {
		order = orderAfter(s, u)
	}
	idx := config.Index{
		Name: u.Name, Revision: u.Revision, TokenKeys: u.TokenKeys, Domains: u.Domains,
	}
	list := make([]*entry, 0, len(order))
	for _, name := range order {
		e, ok := entries[name]
		if !ok {
			return nil, errors.Errorf("update to revision %d: no value for service %s", u.Revision, name)
		}
		list = append(list, e)
		idx.Services = append(idx.Services, config.IndexRow{Name: name, Digest: e.digest})
	}
	next, err := newState(idx, list)
	if err != nil {
		return nil, err
	}
	if next.Version() != u.Version() {
		return nil, errors.Errorf("apply update: the result has version %s instead of %s", next.Version(), u.Version())
	}
	return next, nil
}

// withoutView returns a state that can still be the base of a difference but
// has no view, which takes up most of the memory.
func (s *State) withoutView() *State {
	return &State{index: config.Index{}, entries: s.entries, version: s.version}
}
