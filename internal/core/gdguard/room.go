package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbacklog"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdshare"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// lookahead is how many requests beyond its slots the upstream gets, so that no slot
	// idles between an answer and the next delivery.
	lookahead = 1
	// priorities is the number of priorities that are counted separately. Less urgent ones
	// count as the last of them.
	priorities = 8
	// levels is the number of priorities and share ranks.
	levels = priorities * gdshare.Ranks
)

// slotWait estimates how long a new request of the route would wait for a slot.
func (g *Guard) slotWait(now time.Time, service gdflow.Address, o gdbacklog.Order) time.Duration {
	g.work.wait.SetUpstream(g.slots(), g.isCold(now))
	kept := g.backlog.AheadOf(o)
	ahead := gdwait.Load{Requests: kept, Time: time.Duration(kept) * g.work.wait.SlotTime(now, service)}
	return g.work.wait.Wait(now, o.Priority, ahead)
}

// level returns the level of a request: what goes before it has a lower one.
func level(o gdbacklog.Order) uint8 {
	return min(o.Priority, priorities-1)*gdshare.Ranks + min(o.Share, gdshare.Ranks-1)
}

// hasRoom reports whether the upstream is to get a request of the level. Requests in progress
// of later levels don't matter, unless the upstream would reject the request.
func (g *Guard) hasRoom(now time.Time, level uint8) bool {
	if g.status.Slots == 0 {
		return true // unknown
	}
	return !g.full(now) && g.work.upTo(level) < int(g.status.Slots)+lookahead
}

// full reports whether the upstream was seen to reject requests with as many in progress as now.
func (g *Guard) full(now time.Time) bool {
	return g.work.wait.Full(now) && g.work.upTo(levels-1) >= int(g.status.Slots)+lookahead
}

// hopeless reports whether a new request would get its slot too late for its objective.
func (g *Guard) hopeless(now time.Time, service gdflow.Address, o gdbacklog.Order, objective time.Duration) bool {
	divisor := hopelessDivisor
	if g.full(now) {
		divisor = fullHopelessDivisor
	}
	return g.slotWait(now, service, o).Seconds() > objective.Seconds()/divisor
}

// Refused returns how many requests the upstream has rejected because its queue was full.
func (g *Guard) Refused() int64 { return g.refused }
