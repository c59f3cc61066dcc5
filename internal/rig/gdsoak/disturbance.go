package gdsoak

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// disturbances records the faults and planned work of each host. The store is the host "".
type disturbances struct {
	faults     map[string]*faultPeriods
	lastChange map[string]time.Time // the last start, stop or fault of each host
}

// faultPeriods counts the active faults of a host, which may overlap.
type faultPeriods struct {
	active  int
	lastEnd time.Time
}

func newDisturbances() disturbances {
	return disturbances{faults: make(map[string]*faultPeriods), lastChange: make(map[string]time.Time)}
}

func (d *disturbances) observe(ev gdhostrig.Event) {
	d.lastChange[ev.Host] = ev.At
	p := d.faults[ev.Host]
	if p == nil {
		p = &faultPeriods{}
		d.faults[ev.Host] = p
	}
	switch ev.Kind {
	case gdhostrig.FaultStarted:
		p.active++
	case gdhostrig.FaultEnded:
		p.active--
		p.lastEnd = ev.At
	}
}

// noFaultSince reports whether none of the hosts has had a fault since the time. Planned
// work does not count as a fault.
func (d *disturbances) noFaultSince(since time.Time, hosts ...string) bool {
	for _, h := range hosts {
		if p := d.faults[h]; p != nil && (p.active > 0 || p.lastEnd.After(since)) {
			return false
		}
	}
	return true
}

// undisturbedSince reports whether the hosts have had neither faults nor planned work since
// the time.
func (d *disturbances) undisturbedSince(since time.Time, hosts ...string) bool {
	for _, h := range hosts {
		if d.lastChange[h].After(since) {
			return false
		}
	}
	return d.noFaultSince(since, hosts...)
}

// allUndisturbedSince reports whether neither a host nor the store has had a fault or planned
// work since the time.
func (d *disturbances) allUndisturbedSince(since time.Time) bool {
	for h := range d.lastChange {
		if !d.undisturbedSince(since, h) {
			return false
		}
	}
	return true
}
