package gddispatch

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// origin returns the hash of the host's failure domain that is sent with new flows, or 0 if
// the domain is unknown.
func (d *Dispatcher) origin() uint16 {
	if d.Domain == "" {
		return 0
	}
	return max(uint16(xxhash.Sum64String(d.Domain)), 1)
}

// classOf returns what the route's callers need.
func classOf(r *gddiscovery.Route) gdguard.RouteClass {
	return gdguard.RouteClass{
		Objective: r.LatencyObjective, Timeout: r.Timeout, Idempotent: r.Idempotent,
		Priority: uint8(min(max(r.Priority, 0), math.MaxUint8)),
	}
}
