package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// announced is the part of an upstream's status whose changes are sent to its agent
// at once.
type announced struct {
	acceptsNew     bool
	startUnixMilli int64
}

func announcedOf(now time.Time, m *gddiscovery.Member) announced {
	return announced{acceptsNew: m.AcceptsNew(now), startUnixMilli: m.Upstream().StartUnixMilli}
}

// headerFor returns the header of a message to an agent without a packet.
func (d *Dispatcher) headerFor(now time.Time, p *gddiscovery.Pool, m *gddiscovery.Member) gdguard.Header {
	return gdguard.Header{Service: p.Hash(), Status: d.statusOf(now, p, m), Exact: true}
}

// statusOf returns the upstream's status, as it is sent to the agent.
func (d *Dispatcher) statusOf(now time.Time, p *gddiscovery.Pool, m *gddiscovery.Member) gdguard.UpstreamStatus {
	const maxSlots = 1<<8 - 1
	return gdguard.UpstreamStatus{
		Revision:           d.view.Revision(),
		ViewAge:            d.viewAge(now),
		AcceptsNew:         m.AcceptsNew(now),
		Slots:              uint8(min(max(m.Upstream().Slots, 1), maxSlots)),
		ColdFlowsPerSecond: coldFlows(p.Service().ColdFlowsPerSecond),
		ColdLeft:           m.ColdLeft(now),
		ColdFor:            p.Service().ColdFor,
		StartUnixMilli:     m.Upstream().StartUnixMilli,
	}
}

// coldFlows returns the limit of new flows of a cold upstream per second, as agents get it. A
// fraction below 1 is a limit, too; 0 is none.
func coldFlows(perSecond float64) uint16 {
	if perSecond <= 0 {
		return 0
	}
	return uint16(min(max(perSecond, 1), 1<<16-1))
}

// viewAge returns how long ago the view was known to be current, or 0 if that is not known.
func (d *Dispatcher) viewAge(now time.Time) time.Duration {
	if d.confirmed.IsZero() {
		return 0
	}
	return max(now.Sub(d.confirmed), time.Nanosecond) // 0 stands for an unknown age
}
