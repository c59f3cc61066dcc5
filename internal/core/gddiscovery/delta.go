package gddiscovery

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// maxConfigs limits the configurations that a state retains to describe the latest one by
// its differences: several seconds of a quick series.
const maxConfigs = 16

// ConfigDelta describes a configuration by its differences from earlier ones. It applies
// to each configuration from the revision Since on: whatever was changed after it is
// given as it is in the end. No route had a service in between that it has neither before
// nor after.
type ConfigDelta struct {
	// Since is the lowest revision of a configuration that the delta applies to.
	Since Revision
	// Version and IdleTimeout are those of the described configuration.
	Config
	// RemovedRoutes and RemovedServices are the names of those that are gone. Routes and
	// Services of the embedded configuration are those that are new or different.
	RemovedRoutes, RemovedServices []string
	// Sum is the checksum of the described configuration. The sender may not have known
	// each configuration in between.
	Sum uint64
}

// Apply returns the described configuration, given an earlier one. It reports false if the
// result is another one.
func (d *ConfigDelta) Apply(c *Config) (*Config, bool) {
	out := &Config{
		Version: d.Version, IdleTimeout: d.IdleTimeout,
		Routes:   patch(c.Routes, d.Routes, d.RemovedRoutes, routeName),
		Services: patch(c.Services, d.Services, d.RemovedServices, serviceName),
	}
	return out, out.sum() == d.Sum
}

// sum returns a checksum of the configuration that does not depend on its order. Durations
// count in milliseconds, as they are sent.
func (c *Config) sum() uint64 {
	var buf []byte
	sum := c.Version
	for _, r := range c.Routes {
		buf = fmt.Appendf(buf[:0], "route %q %s %v %d %d %d %t", r.Name, r.Address, r.Shares, r.Priority,
			r.LatencyObjective.Milliseconds(), r.Timeout.Milliseconds(), r.Idempotent)
		sum += xxhash.Sum64(buf)
	}
	for _, s := range c.Services {
		buf = fmt.Appendf(buf[:0], "service %q %d %d %v", s.Name, s.MaxFlows, s.ColdFor.Milliseconds(), s.ColdFlowsPerSecond)
		sum += xxhash.Sum64(buf)
	}
	return sum + uint64(c.IdleTimeout.Milliseconds())
}

func routeName(r Route) string     { return r.Name }
func serviceName(s Service) string { return s.Name }

// patch returns the old elements without the removed ones, the changed ones replaced, and
// the new ones.
func patch[T any](old, changed []T, removed []string, name func(T) string) []T {
	drop := make(map[string]bool, len(changed)+len(removed))
	for _, n := range removed {
		drop[n] = true
	}
	for _, t := range changed {
		drop[name(t)] = true
	}
	out := make([]T, 0, len(old)+len(changed))
	for _, t := range old {
		if !drop[name(t)] {
			out = append(out, t)
		}
	}
	return append(out, changed...)
}

// configAt is a configuration and its revision.
type configAt struct {
	revision Revision
	config   *Config
	sum      uint64
	gap      bool // a configuration before it may have been missed
}

// retainConfig records a configuration for later deltas. gap means that one before it may
// have been missed.
func (s *State) retainConfig(revision Revision, c *Config, gap bool) {
	s.configs = append(s.configs, configAt{revision: revision, config: c, sum: c.sum(), gap: gap})
	s.configs = s.configs[max(len(s.configs)-maxConfigs, 0):]
}

// compact returns the change of the latest configuration in its shortest form for a host
// that has all changes up to the revision.
func (s *State) compact(c Change, revision Revision) Change {
	first := -1
	for i, o := range s.configs {
		if o.revision <= revision {
			first = i
		}
	}
	if c.Config == nil || first < 0 || !uniqueAddresses(c.Config.Routes) {
		return c
	}
	steps := s.configs[first:]
	if slices.ContainsFunc(steps[1:], func(o configAt) bool { return o.gap }) || hidesService(steps) {
		return c
	}
	d := &ConfigDelta{
		Since:  s.configs[first].revision,
		Config: Config{Version: c.Config.Version, IdleTimeout: c.Config.IdleTimeout},
		Sum:    s.configs[len(s.configs)-1].sum,
	}
	d.Routes, d.RemovedRoutes = touched(steps, func(c *Config) []Route { return c.Routes }, routeName, equalRoutes)
	d.Services, d.RemovedServices = touched(steps, func(c *Config) []Service { return c.Services }, serviceName, equalServices)
	if len(d.Routes) >= len(c.Config.Routes) {
		return c
	}
	c.Config, c.Delta = nil, d
	return c
}

// touched returns the elements that differ in any step between consecutive
// configurations: as they are in the last one, or the names of those that are gone.
func touched[T any](steps []configAt, list func(*Config) []T, name func(T) string, equal func(a, b T) bool) (present []T, gone []string) {
	names := make(map[string]bool)
	for i := 1; i < len(steps); i++ {
		before, after := index(list(steps[i-1].config), name), index(list(steps[i].config), name)
		for n, t := range before {
			if u, ok := after[n]; !ok || !equal(t, u) {
				names[n] = true
			}
		}
		for n := range after {
			if _, ok := before[n]; !ok {
				names[n] = true
			}
		}
	}
	for _, t := range list(steps[len(steps)-1].config) {
		if n := name(t); names[n] {
			present = append(present, t)
			delete(names, n)
		}
	}
	for n := range names {
		gone = append(gone, n)
	}
	slices.Sort(gone)
	return present, gone
}

func index[K comparable, T any](list []T, name func(T) K) map[K]T {
	m := make(map[K]T, len(list))
	for _, t := range list {
		m[name(t)] = t
	}
	return m
}

func equalRoutes(a, b Route) bool {
	return a.Name == b.Name && a.Address == b.Address && slices.Equal(a.Shares, b.Shares) && a.Priority == b.Priority &&
		a.LatencyObjective == b.LatencyObjective && a.Timeout == b.Timeout && a.Idempotent == b.Idempotent
}

func equalServices(a, b Service) bool { return a == b }

// uniqueAddresses reports whether no two routes have the same address. Otherwise their
// order matters, which a delta does not keep.
func uniqueAddresses(routes []Route) bool {
	seen := make(map[gdflow.Address]struct{}, len(routes))
	for _, r := range routes {
		seen[r.Address] = struct{}{}
	}
	return len(seen) == len(routes)
}
