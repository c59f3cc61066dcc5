package gdfeed

import (
	"cmp"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

func toChanges(changes []gddiscovery.Change) []wireChange {
	return lo.Map(changes, func(c gddiscovery.Change, _ int) wireChange {
		w := wireChange{Kind: uint8(c.Kind), Name: c.Name, Revision: uint64(c.Revision), Removed: c.Removed}
		if c.Config != nil {
			w.Config = toConfig(c.Config)
		}
		if d := c.Delta; d != nil {
			w.Delta = &wireDelta{
				Since: uint64(d.Since), Config: *toConfig(&d.Config), RemovedRoutes: d.RemovedRoutes,
				RemovedServices: d.RemovedServices, Sum: d.Sum,
			}
		}
		if u := c.Upstream; u != nil {
			w.Upstream = &wireUpstream{
				ID: idUnless(u.ID, c.Name), Service: u.Service, Domain: u.Domain, Address: toAddress(u.Address), Slots: u.Slots,
				Draining: u.Draining, ColdForMS: toMS(u.ColdFor), StartUnixMilli: u.StartUnixMilli,
			}
		}
		return w
	})
}

// idUnless returns the ID of an upstream, or nothing if it is the name of the change.
func idUnless(id, name string) string {
	if id == name {
		return ""
	}
	return id
}

func toConfig(c *gddiscovery.Config) *wireConfig {
	return &wireConfig{
		Version: c.Version, IdleMS: toMS(c.IdleTimeout),
		Routes: lo.Map(c.Routes, func(r gddiscovery.Route, _ int) wireRoute {
			return wireRoute{
				Name: r.Name, Address: toAddress(r.Address), Priority: r.Priority,
				LatencyObjectiveMS: toMS(r.LatencyObjective), TimeoutMS: toMS(r.Timeout), Idempotent: r.Idempotent,
				Shares: lo.Map(r.Shares, func(s gddiscovery.Share, _ int) wireShare {
					return wireShare{Service: s.Service, Weight: s.Weight}
				}),
			}
		}),
		Services: lo.Map(c.Services, func(s gddiscovery.Service, _ int) wireService {
			return wireService{Name: s.Name, MaxFlows: s.MaxFlows, ColdForMS: toMS(s.ColdFor), ColdFlowsPerSecond: s.ColdFlowsPerSecond}
		}),
	}
}

func fromChanges(changes []wireChange) ([]gddiscovery.Change, error) {
	out := make([]gddiscovery.Change, 0, len(changes))
	for _, w := range changes {
		c := gddiscovery.Change{
			Subject:  gddiscovery.Subject{Kind: gddiscovery.Kind(w.Kind), Name: w.Name},
			Revision: gddiscovery.Revision(w.Revision), Removed: w.Removed,
		}
		switch {
		case c.Kind == gddiscovery.Configuration && w.Config != nil:
			c.Config = w.Config.config()
		case c.Kind == gddiscovery.Configuration && w.Delta != nil:
			d := w.Delta
			c.Delta = &gddiscovery.ConfigDelta{
				Since: gddiscovery.Revision(d.Since), Config: *d.Config.config(), RemovedRoutes: d.RemovedRoutes,
				RemovedServices: d.RemovedServices, Sum: d.Sum,
			}
		case c.Kind == gddiscovery.Registration && (w.Upstream != nil || w.Removed):
			c.Upstream = w.Upstream.upstream(w.Name)
		case c.Kind == gddiscovery.Evacuation:
		default:
			return nil, errors.Errorf("decode change of kind %d and name %q: data is missing", w.Kind, w.Name)
		}
		out = append(out, c)
	}
	return out, nil
}

func (w *wireConfig) config() *gddiscovery.Config {
	return &gddiscovery.Config{
		Version: w.Version, IdleTimeout: fromMS(w.IdleMS),
		Routes: lo.Map(w.Routes, func(r wireRoute, _ int) gddiscovery.Route {
			return gddiscovery.Route{
				Name: r.Name, Address: r.Address.address(), Priority: r.Priority,
				LatencyObjective: fromMS(r.LatencyObjectiveMS), Timeout: fromMS(r.TimeoutMS), Idempotent: r.Idempotent,
				Shares: lo.Map(r.Shares, func(s wireShare, _ int) gddiscovery.Share {
					return gddiscovery.Share{Service: s.Service, Weight: s.Weight}
				}),
			}
		}),
		Services: lo.Map(w.Services, func(s wireService, _ int) gddiscovery.Service {
			return gddiscovery.Service{
				Name: s.Name, MaxFlows: s.MaxFlows, ColdFor: fromMS(s.ColdForMS), ColdFlowsPerSecond: s.ColdFlowsPerSecond,
			}
		}),
	}
}

func (w *wireUpstream) upstream(name string) *gddiscovery.Upstream {
	if w == nil {
		return nil
	}
	return &gddiscovery.Upstream{
		ID: cmp.Or(w.ID, name), Service: w.Service, Domain: w.Domain, Address: w.Address.address(), Slots: w.Slots,
		Draining: w.Draining, ColdFor: fromMS(w.ColdForMS), StartUnixMilli: w.StartUnixMilli,
	}
}
