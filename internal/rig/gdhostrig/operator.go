package gdhostrig

import (
	"slices"
	"strconv"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// extraRoutePrefix is the prefix of the names of routes that are added and removed
	// during the run.
	extraRoutePrefix = "extra-"
	// maxExtraRoutes is the maximum number of such routes at a time.
	maxExtraRoutes = 4
	// routePortBase is the port before that of the first route. Each further route gets
	// the next port.
	routePortBase = 4000
	// maxVersionStep is the maximum increment of the configuration's version, which
	// may skip numbers. It is also the number of different malformed registrations.
	maxVersionStep = 5
)

// configure writes the first configuration to the store.
func (r *Rig) configure(now time.Time) {
	c := gddiscovery.Config{IdleTimeout: IdleTimeout}
	for _, s := range r.Shape.Services {
		c.Services = append(c.Services, gddiscovery.Service{
			Name: s.Name, MaxFlows: maxFlows, ColdFor: ColdTime, ColdFlowsPerSecond: ColdFlowsPerSecond,
		})
	}
	for _, cl := range r.Shape.Classes {
		c.Routes = append(c.Routes, gddiscovery.Route{
			Name: cl.Name, Address: r.nextRouteAddress(), Shares: []gddiscovery.Share{{Service: cl.Service, Weight: 1}},
			Priority: cl.Priority, LatencyObjective: cl.LatencyObjective, Timeout: cl.Deadline, Idempotent: cl.Idempotent,
		})
	}
	r.config = c
	r.ChangeConfig(now)
}

func (r *Rig) nextRouteAddress() gdflow.Address {
	r.routeCount++
	return gdflow.AddressFrom([4]byte{198, 18, 0, 1}, uint16(routePortBase+r.routeCount))
}

// ChangeConfig writes a configuration with a new route. It drops the oldest extra route if
// there are already maxExtraRoutes.
func (r *Rig) ChangeConfig(now time.Time) {
	c := r.config
	c.Version += uint64(1 + r.rand.IntN(maxVersionStep))
	c.Routes = append([]gddiscovery.Route(nil), c.Routes...)
	if base := len(r.Shape.Classes); len(c.Routes) >= base+maxExtraRoutes {
		c.Routes = append(c.Routes[:base], c.Routes[base+1:]...)
	}
	service := r.Shape.Services[r.rand.IntN(len(r.Shape.Services))].Name
	a := r.nextRouteAddress()
	c.Routes = append(c.Routes, gddiscovery.Route{
		Name: extraRoutePrefix + strconv.Itoa(int(a.Port())), Address: a, Shares: []gddiscovery.Share{{Service: service, Weight: 1}},
		LatencyObjective: probeDeadline, Timeout: probeDeadline, Idempotent: true,
	})
	r.putConfig(now, c)
}

// routeNames returns the names of a configuration's routes, each between spaces.
func routeNames(c gddiscovery.Config) string {
	names := " "
	for _, rt := range c.Routes {
		names += rt.Name + " "
	}
	return names
}

// probeRoute returns at random the newest route, the one that was removed last, or one
// that never existed.
func (r *Rig) probeRoute() gddiscovery.Route {
	base := len(r.Shape.Classes)
	extra := r.config.Routes[base:]
	dropped := extra[0].Address.Port() - 1
	switch n := r.rand.IntN(3); {
	case n == 0:
		return extra[len(extra)-1]
	case n == 1 && int(dropped) > routePortBase+base:
		return gddiscovery.Route{
			Name:    extraRoutePrefix + strconv.Itoa(int(dropped)),
			Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, dropped),
		}
	}
	return gddiscovery.Route{Name: "never", Address: gdflow.AddressFrom([4]byte{198, 18, 0, 2}, routePortBase)}
}

// SetDomainOut takes a failure domain out of service or puts it back in service.
func (r *Rig) SetDomainOut(now time.Time, domain string, out bool) {
	r.store.SetDomainOut(now, domain, out)
	r.domainsOut[domain] = out
	kind := DomainBack
	if out {
		kind = DomainOut
	}
	r.observe(Event{At: now, Kind: kind, Domain: domain})
}

// ReplaceUpstream drains an upstream and adds another one of its service. With reuse it
// instead adds one of another service at the same address, after the first has stopped.
func (r *Rig) ReplaceUpstream(now time.Time, u *Upstream, reuse bool) {
	u.Drain(now)
	if !reuse {
		r.reportAddError(r.AddUpstream(now, u.Service, u.Domain, true))
		return
	}
	other := u.Service
	for _, s := range r.Shape.Services {
		if s.Name != u.Service {
			other = s.Name
		}
	}
	h := u.host
	var addWhenExited func(now time.Time)
	addWhenExited = func(now time.Time) {
		if exited, _ := h.child.Exited(); !exited {
			r.After(readyProbeInterval, addWhenExited)
			return
		}
		r.reportAddError(r.addUpstreamAt(now, other, h.domain, h.addr, h.proxyAddr, true))
	}
	r.After(DrainTime+lingerTime+AddressReuseDelay, addWhenExited)
}

func (r *Rig) reportAddError(_ *Upstream, err error) {
	if err != nil {
		r.observe(Event{Kind: ProcessExited, Text: err.Error()})
	}
}

// SetStoreFaults sets the faults of the store for the duration d, for one host, or for
// all if h is nil.
func (r *Rig) SetStoreFaults(now time.Time, h *Host, text string, f platformsim.Faults, d time.Duration) {
	name := h.nameOr("")
	r.store.SetFaults(name, f)
	r.ReportFault(now, h, text, d, func(time.Time) { r.store.SetFaults(name, platformsim.Faults{}) })
}

const (
	// operatorReturn is the time from a restore of the store until the operator has written
	// again what was lost.
	operatorReturn = 2500 * time.Millisecond
	// maxRegisterDelay is the maximum time from a restore until an upstream has registered
	// again.
	maxRegisterDelay = 1900 * time.Millisecond
)

// RestoreStore makes the store unavailable for the time away and then restores it from a
// copy of the given age. The operator and the upstreams write again what was lost.
func (r *Rig) RestoreStore(now time.Time, age, away time.Duration) {
	r.store.SetFaults("", platformsim.Faults{Unavailable: true})
	r.ReportFault(now, nil, "restore", away, func(now time.Time) {
		lost := platformsim.NewLost(r.store.Restore(now.Add(-away - age)))
		r.store.SetFaults("", platformsim.Faults{})
		r.After(operatorReturn, func(now time.Time) { r.writeAgain(now, lost) })
		r.registerAgain(lost.Upstreams)
	})
}

// writeAgain writes what the operator has written and the store has lost.
func (r *Rig) writeAgain(now time.Time, lost platformsim.Lost) {
	if lost.Config {
		r.store.PutConfig(now, r.config)
	}
	for _, d := range lost.Domains {
		r.store.SetDomainOut(now, d, r.domainsOut[d])
	}
}

// registerAgain makes the upstreams write their registrations again after random delays.
// Those of upstreams that have stopped expire.
func (r *Rig) registerAgain(ids []string) {
	running := make(map[string]*Upstream)
	for _, h := range r.Hosts(RoleAgent) {
		if u := h.upstream; u != nil && u.running() {
			running[u.ID] = u
		}
	}
	for _, id := range ids {
		if u := running[id]; u != nil {
			delay := time.Duration(r.rand.Int64N(int64(maxRegisterDelay)))
			r.After(delay, func(now time.Time) { u.registerAgain(now) })
			continue
		}
		r.After(maxMissedRegistrations*registerInterval, func(now time.Time) {
			if r.store.HasUpstream(id) && !r.runs(id) {
				r.store.RemoveUpstream(now, id)
			}
		})
	}
}

// runs reports whether the upstream with the ID is running.
func (r *Rig) runs(id string) bool {
	return slices.ContainsFunc(r.Hosts(RoleAgent), func(h *Host) bool {
		return h.upstream != nil && h.upstream.ID == id && h.upstream.running()
	})
}

// DropHistory makes the store drop its history of changes.
func (r *Rig) DropHistory(now time.Time) {
	r.observe(Event{At: now, Kind: PlannedWork, Text: "forget history"})
	r.store.DropHistory()
}

// PutMalformedUpstream writes a registration that can't be decoded.
func (r *Rig) PutMalformedUpstream(now time.Time) {
	r.observe(Event{At: now, Kind: PlannedWork, Text: "garbage"})
	r.store.PutMalformedUpstream(now, "garbage-"+strconv.Itoa(r.rand.IntN(maxVersionStep)))
}
