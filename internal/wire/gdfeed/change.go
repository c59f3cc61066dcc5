package gdfeed

import (
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/core/gdbelief"
)

func toChanges(changes []gdbelief.Change) []wireChange {
	return lo.Map(changes, func(c gdbelief.Change, _ int) wireChange {
		w := wireChange{Kind: uint8(c.Kind), Name: c.Name, Revision: c.Revision, Gone: c.Gone}
		if c.Config != nil {
			w.Config = toConfig(c.Config)
		}
		if u := c.Upstream; u != nil {
			w.Upstream = &wireUpstream{
				ID: u.ID, Service: u.Service, Domain: u.Domain, Address: toAddress(u.Address), Slots: u.Slots,
				Draining: u.Draining, ColdMS: toMS(u.ColdFor), Born: u.Born,
			}
		}
		return w
	})
}

func toConfig(c *gdbelief.Config) *wireConfig {
	return &wireConfig{
		Version: c.Version, IdleMS: toMS(c.IdleTimeout),
		Routes: lo.Map(c.Routes, func(r gdbelief.Route, _ int) wireRoute {
			return wireRoute{
				Name: r.Name, Address: toAddress(r.Address), Priority: r.Priority,
				GoalMS: toMS(r.Goal), TimeoutMS: toMS(r.Timeout), Idempotent: r.Idempotent,
				Shares: lo.Map(r.Shares, func(s gdbelief.Share, _ int) wireShare {
					return wireShare{Service: s.Service, Weight: s.Weight}
				}),
			}
		}),
		Services: lo.Map(c.Services, func(s gdbelief.Service, _ int) wireService {
			return wireService{Name: s.Name, MaxFlows: s.MaxFlows, ColdMS: toMS(s.ColdFor), ColdPerSecond: s.ColdPerSecond}
		}),
	}
}

func fromChanges(changes []wireChange) ([]gdbelief.Change, error) {
	out := make([]gdbelief.Change, 0, len(changes))
	for _, w := range changes {
		c := gdbelief.Change{
			Subject:  gdbelief.Subject{Kind: gdbelief.Kind(w.Kind), Name: w.Name},
			Revision: w.Revision, Gone: w.Gone,
		}
		switch {
		case c.Kind == gdbelief.Configuration && w.Config != nil:
			c.Config = w.Config.config()
		case c.Kind == gdbelief.Registration && (w.Upstream != nil || w.Gone):
			c.Upstream = w.Upstream.upstream()
		case c.Kind == gdbelief.Evacuation:
		default:
			return nil, errors.Errorf("change of kind %d and name %q has no state", w.Kind, w.Name)
		}
		out = append(out, c)
	}
	return out, nil
}

func (w *wireConfig) config() *gdbelief.Config {
	return &gdbelief.Config{
		Version: w.Version, IdleTimeout: fromMS(w.IdleMS),
		Routes: lo.Map(w.Routes, func(r wireRoute, _ int) gdbelief.Route {
			return gdbelief.Route{
				Name: r.Name, Address: r.Address.address(), Priority: r.Priority,
				Goal: fromMS(r.GoalMS), Timeout: fromMS(r.TimeoutMS), Idempotent: r.Idempotent,
				Shares: lo.Map(r.Shares, func(s wireShare, _ int) gdbelief.Share {
					return gdbelief.Share{Service: s.Service, Weight: s.Weight}
				}),
			}
		}),
		Services: lo.Map(w.Services, func(s wireService, _ int) gdbelief.Service {
			return gdbelief.Service{
				Name: s.Name, MaxFlows: s.MaxFlows, ColdFor: fromMS(s.ColdMS), ColdPerSecond: s.ColdPerSecond,
			}
		}),
	}
}

func (w *wireUpstream) upstream() *gdbelief.Upstream {
	if w == nil {
		return nil
	}
	return &gdbelief.Upstream{
		ID: w.ID, Service: w.Service, Domain: w.Domain, Address: w.Address.address(), Slots: w.Slots,
		Draining: w.Draining, ColdFor: fromMS(w.ColdMS), Born: w.Born,
	}
}
