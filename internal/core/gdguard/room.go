package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbacklog"
	"godwitdrift.example/godwitdrift/internal/core/gdshare"
)

const (
	// lookahead is how many requests beyond its slots the upstream gets, so that no slot
	// idles between an answer and the next delivery.
	lookahead = 1
	// intervalWeight is the inverse of the weight of the latest interval between two answers.
	intervalWeight = 16
	// maxIntervalFactor limits what one interval counts for, in multiples of the mean.
	maxIntervalFactor = 4
	// priorities is the number of priorities that are counted separately. Less urgent ones
	// count as the last of them.
	priorities = 8
	// levels is the number of priorities and share ranks.
	levels = priorities * gdshare.Ranks
	// limitTTL is how long an observed limit of the upstream holds.
	limitTTL = 2 * time.Second
)

// limit is the number of requests in progress at which the upstream refused one last. The zero value means none.
type limit struct {
	n     int
	until time.Time
}

// interval is the mean interval between two answers while all slots are in use.
type interval struct {
	mean time.Duration
	last time.Time // of the latest answer, if all slots were still in use after it
}

func (i *interval) note(now time.Time, busy bool) {
	if !i.last.IsZero() {
		d := now.Sub(i.last)
		if i.mean == 0 {
			i.mean = d
		}
		i.mean += (min(d, maxIntervalFactor*i.mean) - i.mean) / intervalWeight
	}
	i.last = time.Time{}
	if busy {
		i.last = now
	}
}

// slotWait estimates how long a new request would wait for a slot.
func (g *Guard) slotWait(o gdbacklog.Order) time.Duration {
	ahead := g.work.upTo(levels-1) + g.backlog.AheadOf(o)
	return time.Duration(max(ahead+1-int(g.status.Slots), 0)) * g.interval.mean
}

// level returns the level of a request: what goes before it has a lower one.
func level(o gdbacklog.Order) uint8 {
	return min(o.Priority, priorities-1)*gdshare.Ranks + min(o.Share, gdshare.Ranks-1)
}

// hasRoom reports whether the upstream is to get a request of the level. Requests in progress
// that are less urgent, or of callers above their share, don't matter, unless the upstream would refuse the request.
func (g *Guard) hasRoom(now time.Time, level uint8) bool {
	if g.status.Slots == 0 {
		return true // unknown
	}
	return !g.full(now) && g.work.upTo(level) < int(g.status.Slots)+lookahead
}

// full reports whether the upstream was seen to refuse requests with as many in progress as now.
func (g *Guard) full(now time.Time) bool {
	return !now.After(g.limit.until) && g.work.upTo(levels-1) >= max(g.limit.n, int(g.status.Slots)+lookahead)
}

// hopeless reports whether a new request would get its slot too late for its objective.
func (g *Guard) hopeless(now time.Time, o gdbacklog.Order, objective time.Duration) bool {
	parts := hopelessParts
	if g.full(now) {
		parts = fullHopelessParts
	}
	return g.slotWait(o).Seconds() > objective.Seconds()/parts
}

// noteAnswer records the first bytes of an answer. If as many earlier requests as the upstream
// has slots are still in progress, this one had no slot: the upstream has refused it.
func (g *Guard) noteAnswer(now time.Time, f *flow) {
	slots := int(g.status.Slots)
	if n := g.work.before(f); slots > 0 && n >= slots {
		g.limit = limit{n: n, until: now.Add(limitTTL)}
		g.refused++
		return
	}
	g.interval.note(now, g.work.upTo(levels-1) > slots)
}

// Refused returns how many requests the upstream has refused because its queue was full.
func (g *Guard) Refused() int64 { return g.refused }
