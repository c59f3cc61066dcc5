package gddiscovery

import (
	"iter"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// DefaultMaxFlowAge is the age that a flow reaches at most, unless the settings say another one.
	DefaultMaxFlowAge = 60 * time.Second
	// maxConfigDelay is how long a host may act on a configuration after this one has a later
	// one: the bound that the users' requirements give in the worst case.
	maxConfigDelay = 15 * time.Second
	// maxFormerRoutes limits the former routes of one address.
	maxFormerRoutes = 8
)

// formerRoute is a route of an earlier configuration.
type formerRoute struct {
	route *Route
	until time.Time // when this host replaced it
}

// routeHistories holds the former routes of each address, the latest first. It is not modified
// once a view has it.
type routeHistories struct {
	former map[gdflow.Address][]formerRoute
	// ttl is how long flows of a former configuration may still be open.
	ttl time.Duration
	// completeSince is the time since which no configuration was missed. The zero time means
	// that there was none before the first one known.
	completeSince time.Time
}

// FormerRoutes yields the routes with other services or weights that the address had in
// earlier configurations and of which flows may still be open, the latest first.
func (v *View) FormerRoutes(now time.Time, a gdflow.Address) iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, f := range v.history.former[a] {
			if now.Sub(f.until) >= v.history.ttl || !yield(f.route) {
				return
			}
		}
	}
}

// KnowsFormerRoutes reports whether FormerRoutes yields each route of which flows may still
// be open. Otherwise an upstream of any service may hold a flow of any route.
func (v *View) KnowsFormerRoutes(now time.Time) bool {
	return now.Sub(v.history.completeSince) >= v.history.ttl
}

// formerTTL returns how long flows of a former configuration may still be open.
func (s *State) formerTTL() time.Duration { return s.maxFlowAge() + maxConfigDelay }

// forgetFormerRoutes records that configurations may have been missed until now.
func (s *State) forgetFormerRoutes(now time.Time) { s.history.completeSince = now }

// recordFormerRoutes records the routes that a new configuration changes or removes.
func (s *State) recordFormerRoutes(now time.Time, old, next *Config) {
	ttl, former := s.formerTTL(), make(map[gdflow.Address][]formerRoute)
	for a, list := range s.history.former {
		if now.Sub(list[0].until) < ttl {
			former[a] = list
		}
	}
	shares := make(map[gdflow.Address][]Share, len(next.Routes))
	for i := range next.Routes {
		shares[next.Routes[i].Address] = next.Routes[i].Shares
	}
	for i := range old.Routes {
		r := &old.Routes[i]
		if after, ok := shares[r.Address]; ok && slices.Equal(after, r.Shares) {
			continue
		}
		list, complete := withFormer(now, ttl, former[r.Address], r)
		former[r.Address] = list
		if !complete {
			s.forgetFormerRoutes(now)
		}
	}
	s.history.former = former
}

// withFormer returns the list with the route before the others. It reports false if it had to
// drop a route that the rest does not stand for.
func withFormer(now time.Time, ttl time.Duration, list []formerRoute, r *Route) ([]formerRoute, bool) {
	out := make([]formerRoute, 1, len(list)+1)
	out[0] = formerRoute{route: r, until: now}
	for _, f := range list {
		if now.Sub(f.until) < ttl && !slices.Equal(f.route.Shares, r.Shares) {
			out = append(out, f)
		}
	}
	if len(out) <= maxFormerRoutes {
		return out, true
	}
	kept := out[:maxFormerRoutes]
	for _, share := range out[maxFormerRoutes].route.Shares {
		if !slices.ContainsFunc(kept, func(f formerRoute) bool { return f.route.has(share.Service) }) {
			return kept, false
		}
	}
	return kept, true
}

// has reports whether the service is one of the route's.
func (r *Route) has(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// hidesService reports whether a host that gets the last configuration in place of all after
// the first, or after any other that it has, misses a service of a route: one that the route
// has in between, and neither in the configuration that the host has nor in the last one.
func hidesService(steps []configAt) bool {
	last := index(steps[len(steps)-1].config.Routes, routeAddress)
	for j := 1; j < len(steps)-1; j++ {
		for _, r := range steps[j].config.Routes {
			after, ok := last[r.Address]
			if !ok {
				continue // its flows end
			}
			for _, share := range r.Shares {
				if !after.has(share.Service) && !eachHas(steps[:j], r.Address, share.Service) {
					return true
				}
			}
		}
	}
	return false
}

// eachHas reports whether the route at the address has the service in each configuration.
func eachHas(steps []configAt, a gdflow.Address, service string) bool {
	for _, s := range steps {
		if !slices.ContainsFunc(s.config.Routes, func(r Route) bool { return r.Address == a && r.has(service) }) {
			return false
		}
	}
	return true
}

func routeAddress(r Route) gdflow.Address { return r.Address }
