package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// reachInterval is the minimum interval between two probes of a host.
	reachInterval = 400 * time.Millisecond
	// unreachableTTL is how long a host counts as unreachable after a failed probe: long
	// enough for the next one to end.
	unreachableTTL = time.Second
	// controlTTL is how long after its last answer a host serves as the control of a
	// probe.
	controlTTL = 2 * time.Second
)

// probeHost requests a probe of a host, unless there was one recently.
//
// A host whose network stack does not respond either can't deliver packets to its
// upstream, whatever the reason: it has no power, or the path to it is cut. An agent that
// restarts on a host that responds is no reason to give up a flow, since its upstream
// still holds it. Probes tell the two apart. Another host that has answered is probed at
// the same time: if that probe fails too, this host's own link is the reason, and the
// result says nothing.
func (d *Dispatcher) probeHost(now time.Time, at gdflow.Address) {
	control, ok := d.hosts.control(now, at)
	o := d.hosts.get(at)
	if !ok || now.Sub(o.probedAt) < reachInterval {
		return
	}
	o.probedAt = now
	d.add(Action{Verb: Probe, To: at, Control: control})
}

// HandleProbe records the result of a probe: whether the host and the control have
// responded.
func (d *Dispatcher) HandleProbe(now time.Time, at gdflow.Address, responded, controlResponded bool) {
	o := d.hosts.get(at)
	switch {
	case responded:
		o.unreachableAt = time.Time{}
	case controlResponded:
		if d.OnUnreachable != nil && !o.unreachable(now) {
			d.OnUnreachable(at)
		}
		o.unreachableAt = now
		d.hosts.markSuspect(now, at)
	}
}

// givesUp reports whether flows at the host are given up: it is unreachable, and callers
// may send their requests again elsewhere. A request that must not run twice may have
// run, so that its flow waits for the host.
func (d *Dispatcher) givesUp(now time.Time, r *gddiscovery.Route, at gdflow.Address) bool {
	return r.Idempotent && d.hosts.unreachable(now, at)
}

// noteRetransmission requests a probe of the upstream's host if the caller sends data again
// on a flow whose upstream is known: its packets, or the upstream's acknowledgements, get
// lost. It reports whether the packet carries data.
func (d *Dispatcher) noteRetransmission(now time.Time, f *flow, p gdflow.Packet) bool {
	if p.Size == 0 {
		return false
	}
	if f.retransmits(p) {
		d.probeHost(now, f.upstream.address)
		return true
	}
	f.callerEnd, f.hasData = p.Seq+uint32(p.Size), true
	return true
}

// retransmits reports whether the packet has only data that the caller has sent before.
func (f *flow) retransmits(p gdflow.Packet) bool {
	return p.Size > 0 && f.hasData && int32(p.Seq+uint32(p.Size)-f.callerEnd) <= 0
}
