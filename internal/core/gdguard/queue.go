package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// keepDivisor: a request that is to wait in the upstream's queue is kept back before for a
	// quarter of its objective.
	keepDivisor = 4
	// workMargin is the multiple of the time in a slot that is left of the objective when a
	// request starts in time: the rest is for slow work and for its way to the caller.
	workMargin = 2
	// latestShare is the share of its timeout after which a kept request is delivered in any
	// case, so that its answer arrives before the caller gives up.
	latestShare = 0.75
	// maxKeep limits how long a request is kept back: the upstream may drop an open flow that
	// is idle for too long.
	maxKeep = 2 * time.Second
	// minUrgentRate is the rate per second of more urgent requests from which the upstream's
	// queue is kept short for them.
	minUrgentRate = 1
)

// queue is where requests of a route wait that find no free slot.
type queue uint8

const (
	// upstreamQueue: in the upstream's own queue, after a short time at the agent. It rejects what
	// is too much, which nobody else can do with a request on an open flow, but serves in the
	// order of arrival.
	upstreamQueue queue = iota
	// agentQueue: at the agent, where more urgent requests pass them. Too many of them are
	// answered late instead of being rejected.
	agentQueue
)

// queueOf returns where requests of the class wait: at the agent, if more urgent ones come that
// would wait too long in the upstream's queue when that is full.
func (g *Guard) queueOf(now time.Time, class RouteClass) queue {
	if g.work.wait.MoreUrgentRate(now, class.Priority) < minUrgentRate {
		return upstreamQueue
	}
	wait := g.work.wait.QueueTime(now)
	for service := range g.classes {
		c, ok := g.classes.get(now, service)
		objective := gdwait.Objective(c.Objective, c.Timeout)
		if ok && objective > 0 && c.Priority < class.Priority && wait > gdwait.LatestStart(objective) {
			return agentQueue
		}
	}
	return upstreamQueue
}

// keepUntil returns until when a request that begins now can start in time, or the zero time if it
// keeps its place in the order in any case, and until when it may be kept back.
func (g *Guard) keepUntil(now time.Time, q queue, service gdflow.Address, class RouteClass) (latest, due time.Time) {
	due = now.Add(class.Objective / keepDivisor)
	if q == upstreamQueue {
		return time.Time{}, due
	}
	if last := now.Add(min(time.Duration(latestShare*float64(class.Timeout)), maxKeep)); last.After(due) {
		due = last
	}
	return now.Add(class.Objective - workMargin*g.work.wait.SlotTime(now, service)), due
}
