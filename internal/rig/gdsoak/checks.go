package gdsoak

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// classOrder is the request class whose operations may run at most once.
const classOrder = "order"

// requestSent records an attempt and, for the first one on a flow, the flow.
func (c *Checker) requestSent(ev gdhostrig.Event) {
	c.attempts[ev.ID] = &attempt{Event: ev, idempotent: ev.Class != classOrder}
	if f := c.flows[ev.Flow]; f == nil || f.request.Route == "" {
		c.flows[ev.Flow] = &flow{request: ev}
	}
}

// flowAccepted checks a flow that an upstream has accepted.
func (c *Checker) flowAccepted(ev gdhostrig.Event) {
	c.check(ev.At, unaltered, true, "")
	f, u := c.flows[ev.Flow], c.upstreams[ev.Upstream]
	c.check(ev.At, onlyAsked, f != nil, "no caller opened flow %s, which %s accepted", ev.Flow, ev.Upstream)
	if f == nil || u == nil {
		return
	}
	req := f.request
	if req.Service != "" {
		c.check(ev.At, rightService, isOneOf(ev.Service, c.servicesOf(req)), "flow %s of service %s was accepted by %s, an upstream of another service", ev.Flow, req.Service, ev.Upstream)
	}
	// undisturbed reports whether the promises with a time bound apply to a change made at since.
	undisturbed := func(since time.Time) bool {
		return c.disturbances.noFaultSince(since.Add(-stableTime), "") && c.disturbances.undisturbedSince(ev.At.Add(-stableTime), req.Host, u.Host)
	}
	if since := u.drainedAt; !since.IsZero() && undisturbed(since) {
		after := ev.At.Sub(since)
		c.check(ev.At, drained, after <= drainBound, "%s accepted flow %s %s after it began to drain", ev.Upstream, ev.Flow, after)
	}
	if since, out := c.domainsOut[u.Domain]; out && undisturbed(since) {
		after := ev.At.Sub(since)
		c.check(ev.At, domainOut, after <= domainOutBound, "%s accepted flow %s %s after failure domain %s went out of service", ev.Upstream, ev.Flow, after, u.Domain)
	}
	if ev.At.Before(u.ColdUntil) {
		u.coldFlows = append(u.coldFlows, ev.At)
		u.coldFlows = slices.DeleteFunc(u.coldFlows, func(t time.Time) bool { return ev.At.Sub(t) >= time.Second })
		c.check(ev.At, coldStart, len(u.coldFlows) <= maxColdFlowsPerSecond, "%s accepted %d flows within one second while cold", ev.Upstream, len(u.coldFlows))
	}
	c.checkVersion(ev, req, undisturbed)
}

// checkVersion checks the configuration version that an entry host applied when it opened
// a flow.
func (c *Checker) checkVersion(ev, req gdhostrig.Event, undisturbed func(time.Time) bool) {
	added, removed := c.routeVersions(req.Route)
	c.check(ev.At, rightService, added != nil, "flow %s has no configured route, but %s accepted it", ev.Flow, ev.Upstream)
	if removed != nil {
		if undisturbed(removed.at) {
			late := req.At.Sub(removed.at)
			c.check(ev.At, configInTime, late <= configBound, "flow %s was opened by %s %s after its route was removed", ev.Flow, req.Host, late)
		}
		if s := c.applied[req.Host]; s.number >= removed.number {
			late := req.At.Sub(s.at)
			c.check(ev.At, configNeverBack, late <= oldVersionSlack, "flow %s was opened by %s, although version %d, which lacks its route, had taken effect there %s before",
				ev.Flow, req.Host, s.number, late)
		}
	}
	if added != nil && added.number > c.applied[req.Host].number {
		c.applied[req.Host] = appliedVersion{number: added.number, at: ev.At}
	}
}

// routeVersions returns the configuration versions that added and removed a route, each nil if there is none.
func (c *Checker) routeVersions(route string) (added, removed *version) {
	for i := range c.versions {
		switch v := &c.versions[i]; {
		case added == nil && v.hasRoute(route):
			added = v
		case added != nil && removed == nil && !v.hasRoute(route):
			removed = v
		}
	}
	return added, removed
}

// trackFlow records where a flow is open and when its upstream last received a packet of it.
func (c *Checker) trackFlow(ev gdhostrig.Event) {
	f := c.flows[ev.Flow]
	if f == nil {
		return
	}
	switch ev.Kind {
	case gdhostrig.FlowOpened:
		f.upstream, f.open, f.lastDelivered, f.misrouted = ev.Upstream, true, ev.At, nil
	case gdhostrig.PacketDelivered:
		f.lastDelivered, f.misrouted = ev.At, nil
		c.check(ev.At, unaltered, true, "")
		c.check(ev.At, flowStays, true, "")
	case gdhostrig.FlowClosed:
		f.open = f.open && f.upstream != ev.Upstream
	}
}

// mustStay reports whether the flow is open at a running upstream whose host has had no
// unplanned fault for stableTime.
func (c *Checker) mustStay(now time.Time, f *flow) bool {
	if f == nil || !f.open {
		return false
	}
	u := c.upstreams[f.upstream]
	return u != nil && !u.stopped && c.disturbances.noFaultSince(now.Add(-stableTime), u.Host)
}

// packetMisrouted checks a packet of an open flow that reached an upstream which does not
// hold the flow.
func (c *Checker) packetMisrouted(ev gdhostrig.Event) {
	f := c.flows[ev.Flow]
	if !c.mustStay(ev.At, f) {
		return
	}
	f.misrouted = slices.DeleteFunc(append(f.misrouted, ev.At), func(t time.Time) bool { return ev.At.Sub(t) > misroutedWindow })
	if len(f.misrouted) < minMisrouted || !c.disturbances.noFaultSince(ev.At.Add(-stableTime-misroutedWindow), c.entryHosts()...) {
		return
	}
	c.check(ev.At, flowStays, ev.At.Sub(f.lastDelivered) < misroutedWindow, "%d packets of flow %s reached other upstreams and none reached %s for %s",
		len(f.misrouted), ev.Flow, f.upstream, ev.At.Sub(f.lastDelivered))
}

// entryHosts returns the names of the entry hosts.
func (c *Checker) entryHosts() []string {
	var names []string
	for h := range c.disturbances.lastChange {
		if strings.HasPrefix(h, gdhostrig.RoleEntry) {
			names = append(names, h)
		}
	}
	return names
}

// flowReset checks a reset that the caller of an open flow received.
func (c *Checker) flowReset(ev gdhostrig.Event) {
	f := c.flows[ev.Flow]
	if ev.Signed || !c.mustStay(ev.At, f) || !c.disturbances.noFaultSince(ev.At.Add(-stableTime), ev.Host, ev.Via) {
		return
	}
	if _, removed := c.routeVersions(f.request.Route); removed != nil {
		return
	}
	c.check(ev.At, flowStays, false, "%s reset flow %s, which %s holds", ev.Host, ev.Flow, f.upstream)
}

// requestStarted checks a request that an upstream began to run.
func (c *Checker) requestStarted(ev gdhostrig.Event) {
	a := c.attempts[ev.ID]
	c.check(ev.At, onlyAsked, a != nil, "%s ran request %q, which no caller sent", ev.Upstream, ev.ID)
	if a == nil {
		return
	}
	if a.Service != "" {
		c.check(ev.At, rightService, isOneOf(ev.Service, c.servicesOf(a.Event)), "request %s of service %s ran at %s, an upstream of another service", ev.ID, a.Service, ev.Upstream)
	}
	a.runs++
	c.opRuns[a.Op]++
	c.check(ev.At, atMostOnce, a.runs == 1 && (a.idempotent || c.opRuns[a.Op] == 1), "request %s ran %d times, its operation %d times",
		ev.ID, a.runs, c.opRuns[a.Op])
	c.check(ev.At, trulyNotRun, !a.knownNotRun, "request %s ran after its caller was notified that it had not run", ev.ID)
}

// attemptEnded checks the outcome of an attempt at its caller.
func (c *Checker) attemptEnded(ev gdhostrig.Event) {
	a := c.attempts[ev.ID]
	if a == nil {
		return
	}
	switch ev.Kind {
	case gdhostrig.AnswerReceived:
		c.check(ev.At, wholeAnswer, ev.OK, "request %s received an answer that differs from its upstream's", ev.ID)
	case gdhostrig.NotRun, gdhostrig.OpenFailed:
		a.knownNotRun = true
		c.check(ev.At, trulyNotRun, a.runs == 0, "request %s had run, but its caller was notified that it had not", ev.ID)
		c.openFailed(ev, a)
	}
}

// openFailed checks an attempt whose flow did not open. The promise applies if the route
// was configured, an upstream was available, and nothing was disturbed.
func (c *Checker) openFailed(ev gdhostrig.Event, a *attempt) {
	added, removed := c.routeVersions(a.Route)
	if ev.Kind != gdhostrig.OpenFailed || added == nil || removed != nil || !c.hasAvailableUpstream(a.Service) ||
		!c.disturbances.allUndisturbedSince(added.at.Add(-stableTime)) {
		return
	}
	late := a.At.Sub(added.at)
	c.check(ev.At, configInTime, late <= configBound, "flow %s was not opened by %s %s after its route was added", ev.Flow, a.Host, late)
}

// servicesOf returns the services that the route of a request has had until now.
func (c *Checker) servicesOf(req gdhostrig.Event) string {
	return cmp.Or(c.services[req.Route], req.Service)
}

// isOneOf reports whether the service is one of those between spaces.
func isOneOf(service, all string) bool { return slices.Contains(strings.Fields(all), service) }

// hasAvailableUpstream reports whether one of the services has an upstream that accepts new flows.
func (c *Checker) hasAvailableUpstream(services string) bool {
	for _, u := range c.upstreams {
		if _, out := c.domainsOut[u.Domain]; isOneOf(u.Service, services) && !out && !u.stopped && u.drainedAt.IsZero() {
			return true
		}
	}
	return false
}
