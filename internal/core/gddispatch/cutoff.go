package gddispatch

import "time"

const (
	// minReachable is the share of reachable agents below which a host is of no use
	// to callers. A host in a partitioned failure domain reaches more: the agents of
	// its own domain, which have the capacity for the domain's callers.
	minReachable = 0.1
	// minSilentAgents is the number of silent agents from which a host can be cut off:
	// a single silent agent may be down.
	minSilentAgents = 2
	// maxUnconfirmedAge is the age above which a view can't come from a working reader:
	// the longest watch plus a beacon interval.
	maxUnconfirmedAge = 1300 * time.Millisecond
	// pingInterval is the interval at which a host that is cut off probes the silent
	// agents: the routers check its readiness twice a second.
	pingInterval = 200 * time.Millisecond
)

// CutOff reports whether hardly any agent responds to this host and it receives no
// updates of the deployment's state either, so that callers are better served by
// another host. If it receives updates, the agents are down, and no other host could
// do better.
func (d *Dispatcher) CutOff() bool { return d.cutOff }

// reachesFewAgents reports whether hardly any agent responds and the view was not
// confirmed recently.
func (d *Dispatcher) reachesFewAgents(now time.Time) bool {
	if d.view == nil || now.Sub(d.confirmed) < maxUnconfirmedAge {
		return false
	}
	all, silent := 0, 0
	for _, m := range d.view.Upstreams() {
		if _, gone := m.Removed(); gone {
			continue
		}
		all++
		if d.hosts.silent(m.Address()) {
			silent++
		}
	}
	return silent >= minSilentAgents && float64(all-silent) < minReachable*float64(all)
}

// updateCutOff records whether the host is cut off, and schedules probes of the
// silent agents while it is.
func (d *Dispatcher) updateCutOff(now time.Time) {
	d.cutOff = d.reachesFewAgents(now)
	if d.cutOff && d.pingAt.IsZero() {
		d.pingAt = now.Add(pingInterval)
	}
}

// ping sends empty queries to the silent agents, so that an answer shows that they
// are reachable again.
func (d *Dispatcher) ping(now time.Time) {
	d.pingAt = time.Time{}
	d.updateCutOff(now)
	if !d.cutOff {
		return
	}
	for _, m := range d.view.Upstreams() {
		p, ok := d.view.Pool(m.Upstream().Service)
		if ok && d.hosts.silent(m.Address()) {
			d.add(Action{Verb: Query, To: m.Address(), Header: d.headerFor(now, p, m), Reason: Broadcast})
		}
	}
}
