package gdhostrig

import (
	"strconv"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// extraPrefix begins the names of routes that come and go.
	extraPrefix = "extra-"
	// mostExtra is how many of them there are at a time.
	mostExtra = 4
	// routePort is the port of the first route; each further one has the next.
	routePort = 4000
	// versionSteps bounds the uneven steps of versions.
	versionSteps = 5
)

// configure writes the first configuration.
func (r *Rig) configure(now time.Time) {
	c := gddiscovery.Config{IdleTimeout: IdleTimeout}
	for _, s := range r.Shape.Services {
		c.Services = append(c.Services, gddiscovery.Service{
			Name: s.Name, MaxFlows: mostFlows, ColdFor: ColdTime, ColdFlowsPerSecond: ColdFlowsPerSecond,
		})
	}
	for _, cl := range r.Shape.Classes {
		c.Routes = append(c.Routes, gddiscovery.Route{
			Name: cl.Name, Address: r.nextRoute(), Shares: []gddiscovery.Share{{Service: cl.Service, Weight: 1}},
			Priority: cl.Priority, LatencyObjective: cl.LatencyObjective, Timeout: cl.Deadline, Idempotent: cl.Idempotent,
		})
	}
	r.config = c
	r.ChangeConfig(now)
}

func (r *Rig) nextRoute() gdflow.Address {
	r.routes++
	return gdflow.AddressFrom([4]byte{198, 18, 0, 1}, uint16(routePort+r.routes))
}

// ChangeConfig writes a configuration with one more route, and one less when there
// are many.
func (r *Rig) ChangeConfig(now time.Time) {
	c := r.config
	c.Version += uint64(1 + r.rand.IntN(versionSteps))
	c.Routes = append([]gddiscovery.Route(nil), c.Routes...)
	if base := len(r.Shape.Classes); len(c.Routes) >= base+mostExtra {
		c.Routes = append(c.Routes[:base], c.Routes[base+1:]...)
	}
	service := r.Shape.Services[r.rand.IntN(len(r.Shape.Services))].Name
	a := r.nextRoute()
	c.Routes = append(c.Routes, gddiscovery.Route{
		Name: extraPrefix + strconv.Itoa(int(a.Port())), Address: a, Shares: []gddiscovery.Share{{Service: service, Weight: 1}},
		LatencyObjective: probeDeadline, Timeout: probeDeadline, Idempotent: true,
	})
	r.config = c
	r.store.PutConfig(now, c)
	r.saw(Event{At: now, Kind: Configured, Version: c.Version, Text: routeNames(c)})
}

// routeNames names the routes of a configuration, each between spaces.
func routeNames(c gddiscovery.Config) string {
	names := " "
	for _, rt := range c.Routes {
		names += rt.Name + " "
	}
	return names
}

// probeRoute returns a route that is new, was removed, or never was.
func (r *Rig) probeRoute() gddiscovery.Route {
	base := len(r.Shape.Classes)
	extra := r.config.Routes[base:]
	dropped := extra[0].Address.Port() - 1
	switch n := r.rand.IntN(3); {
	case n == 0:
		return extra[len(extra)-1]
	case n == 1 && int(dropped) > routePort+base:
		return gddiscovery.Route{
			Name:    extraPrefix + strconv.Itoa(int(dropped)),
			Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, dropped),
		}
	}
	return gddiscovery.Route{Name: "never", Address: gdflow.AddressFrom([4]byte{198, 18, 0, 2}, routePort)}
}

// SetDomainOut takes a failure domain out, or back in.
func (r *Rig) SetDomainOut(now time.Time, domain string, out bool) {
	r.store.SetDomainOut(now, domain, out)
	kind := DomainBack
	if out {
		kind = DomainOut
	}
	r.saw(Event{At: now, Kind: kind, Domain: domain})
}

// ReplaceUpstream drains an upstream and adds one of its service, or, with reuse, gives its
// address to another service when it is gone.
func (r *Rig) ReplaceUpstream(now time.Time, u *Upstream, reuse bool) {
	u.Drain(now)
	if !reuse {
		r.added(r.AddUpstream(now, u.Service, u.Domain, true))
		return
	}
	other := u.Service
	for _, s := range r.Shape.Services {
		if s.Name != u.Service {
			other = s.Name
		}
	}
	h := u.host
	var again func(now time.Time)
	again = func(now time.Time) {
		if ended, _ := h.child.Exited(); !ended {
			r.After(probeInterval, again)
			return
		}
		r.added(r.addUpstreamAt(now, other, h.domain, h.at, h.seen, true))
	}
	r.After(DrainTime+lingerTime+AddressReuseDelay, again)
}

func (r *Rig) added(_ *Upstream, err error) {
	if err != nil {
		r.saw(Event{Kind: ProcessExited, Text: err.Error()})
	}
}

// SetStoreFaults sets what is wrong with the store for a time, for one host or, with nil,
// for all.
func (r *Rig) SetStoreFaults(now time.Time, h *Host, what string, f platformsim.Faults, d time.Duration) {
	name := h.nameOr("")
	r.store.SetFaults(name, f)
	r.ReportFault(now, h, what, d, func(time.Time) { r.store.SetFaults(name, platformsim.Faults{}) })
}

// DropHistory makes the store forget its history.
func (r *Rig) DropHistory(now time.Time) {
	r.saw(Event{At: now, Kind: PlannedWork, Text: "forget history"})
	r.store.DropHistory()
}

// PutMalformedUpstream writes a registration that can't be read.
func (r *Rig) PutMalformedUpstream(now time.Time) {
	r.saw(Event{At: now, Kind: PlannedWork, Text: "garbage"})
	r.store.PutMalformedUpstream(now, "garbage-"+strconv.Itoa(r.rand.IntN(versionSteps)))
}
