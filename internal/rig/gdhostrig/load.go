package gdhostrig

import (
	"slices"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// maxPooledFlows is the maximum number of flows that the callers of a pool hold open.
const maxPooledFlows = 8

// pool is a caller that holds several flows open and sends each request on an idle one.
type pool struct {
	class    *Class
	domain   string
	sessions []*session
}

// Burst makes the callers of a class, or of all if it is empty, send more requests for the
// duration d, factor times as many in all. With a domain, only its callers do.
func (r *Rig) Burst(now time.Time, class, domain string, factor float64, d time.Duration) {
	for _, cl := range r.Shape.Classes {
		if class != "" && cl.Name != class {
			continue
		}
		c := r.callers.classes[cl.Name]
		rate := c.RequestsPerSecond
		if c.HeldFlows > 0 {
			rate += float64(c.HeldFlows) / c.ThinkTime.Seconds()
		}
		b := &burst{callers: &r.callers, class: c, domain: domain, rate: (factor - 1) * rate, until: now.Add(d)}
		if c.HeldFlows > 0 || r.rand.IntN(2) == 0 {
			for _, dom := range r.Shape.Domains {
				b.pools = append(b.pools, &pool{class: c, domain: dom})
			}
		}
		b.next(now)
	}
	r.ReportFault(now, nil, strings.TrimSpace("burst "+class+" "+domain), d, nil)
}

// burst is the additional load of one class.
type burst struct {
	*callers
	class  *Class
	domain string
	rate   float64 // requests per second
	until  time.Time
	pools  []*pool // one for each domain, or none if each request has a flow of its own
}

// next sends one request and schedules the next one.
func (b *burst) next(now time.Time) {
	if b.stopped || now.After(b.until) {
		return
	}
	b.rig.After(time.Duration(b.rig.rand.ExpFloat64()/b.rate*float64(time.Second)), b.next)
	domain := b.domain
	if domain == "" {
		domain = b.randomDomain()
	}
	for _, p := range b.pools {
		if p.domain == domain {
			b.sendOnPool(now, p)
			return
		}
	}
	op := b.newOperation(now, b.class, domain)
	b.attempt(now, op, b.open(b.configuredRoute(b.class.Name), domain, nil))
}

// sendOnPool sends a request on an idle flow of the pool. It sends none if all are in use.
func (c *callers) sendOnPool(now time.Time, p *pool) {
	i := slices.IndexFunc(p.sessions, func(s *session) bool { return s.idle })
	if i < 0 {
		if len(p.sessions) >= maxPooledFlows {
			return
		}
		p.sessions = append(p.sessions, &session{class: p.class, domain: p.domain, pooled: true})
		i = len(p.sessions) - 1
	}
	c.sendOnHeldFlow(now, p.sessions[i])
}

// Split sets the weights of the services of a route. A service of weight 0 gets no new flows.
func (r *Rig) Split(now time.Time, route string, shares []gddiscovery.Share) {
	c := r.config
	c.Version += uint64(1 + r.rand.IntN(maxVersionStep))
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		if c.Routes[i].Name == route {
			c.Routes[i].Shares = shares
		}
	}
	r.putConfig(now, c)
}

// putConfig writes a configuration to the store.
func (r *Rig) putConfig(now time.Time, c gddiscovery.Config) {
	services := make(map[string]string)
	for _, rt := range c.Routes {
		for _, s := range rt.Shares {
			if s.Weight > 0 && !slices.Contains(r.allowed[rt.Name], s.Service) {
				r.allowed[rt.Name] = append(r.allowed[rt.Name], s.Service)
			}
		}
		services[rt.Name] = r.servicesOf(rt)
	}
	r.config = c
	r.store.PutConfig(now, c)
	r.observe(Event{At: now, Kind: Configured, Version: c.Version, Text: routeNames(c), Services: services})
}

// servicesOf returns the services to which any configuration has sent the route, between
// spaces, or nothing for a route that is not configured.
func (r *Rig) servicesOf(rt gddiscovery.Route) string {
	if len(rt.Shares) == 0 {
		return ""
	}
	return strings.Join(r.allowed[rt.Name], " ")
}

// Narrow leaves the upstream one slot and a queue of one request for the duration d. It
// answers further requests that they have not run.
func (u *Upstream) Narrow(now time.Time, d time.Duration) {
	if !u.running() || u.narrow {
		return
	}
	slots := u.Slots
	u.narrow, u.Slots = true, 1
	u.register(now)
	u.rig.ReportFault(now, u.host, "narrow", d, func(now time.Time) {
		u.narrow, u.Slots = false, slots
		if u.running() {
			u.register(now)
		}
	})
}

// maxQueue returns the maximum number of queued requests.
func (u *Upstream) maxQueue() int {
	if u.narrow {
		return 1
	}
	return u.Slots * queuedPerSlot
}
