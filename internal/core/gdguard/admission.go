package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdshare"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// forcedDepth and urgentDepth limit the load per slot of an upstream that accepts
	// a flow of a route without an objective although no upstream has a free slot.
	forcedDepth = 3
	urgentDepth = 4
	// newcomerDivisor: a flow that will be late is let in only while one that arrives now could
	// still begin within a quarter of the objective.
	newcomerDivisor = 4
	// aboveShareDivisor: flows of callers that ask for more than their share begin within half
	// of the time of others, as far as requests at least as urgent delay them, so that others
	// find room behind them.
	aboveShareDivisor = 2
	// firstCopyAfter and secondCopyAfter are when callers send copies of an opening
	// packet that was not answered.
	firstCopyAfter  = 200 * time.Millisecond
	secondCopyAfter = 600 * time.Millisecond
)

// handleOpen decides on a packet that opens a flow.
func (g *Guard) handleOpen(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) {
	g.UpdateStatus(now, h)
	f, known := g.flows.Get(now, p.Key())
	reopened := known && f.opening.ReplacedBy(p, f.callerEnd, f.hasData)
	if known && f.state >= pending && !reopened {
		f.entry, f.exact = entry, h.Exact
		g.add(Action{Verb: Deliver, Key: p.Key()})
		return
	}
	if r, wait := g.refusal(now, h, p); r != 0 {
		g.add(Action{Verb: Return, Key: p.Key(), Entry: entry, Reason: r, Wait: wait})
		return
	}
	g.cold.spend(now)
	g.answers.sent(now)
	if reopened {
		g.work.end(f)
	}
	f = &flow{entry: entry, exact: h.Exact, state: pending, expectedSeq: p.Ack, opening: gdflow.OpeningOf(p), origin: h.Origin}
	g.work.offer(g.requestOn(now, p.Key(), f))
	g.flows.Put(now, p.Key(), f)
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// refusal returns why the upstream can't accept a new flow, or 0, and how long its request
// would wait.
func (g *Guard) refusal(now time.Time, h Header, p gdflow.Packet) (Reason, time.Duration) {
	unavailable := g.unavailable(now)
	switch {
	case unavailable != 0 && !g.answers.probe(now):
		return unavailable, 0
	case g.leaving:
		return Leaving, 0
	case !g.status.AcceptsNew || now.Before(g.refusesUntil):
		return Draining, 0
	case g.isCold(now) && !g.cold.allows(now, g.coldLimit(now)):
		return Cold, 0
	case !h.Forced && g.work.wait.AnswersEarly(now):
		// A wait beyond the caller's timeout makes the entry host prefer any other upstream.
		return Busy, g.waitFor(now, unknownPriority, g.ahead(now, unknownPriority)) + h.Class.Timeout
	case g.work.n < g.slots():
		return 0, 0
	}
	ahead := g.ahead(now, h.Class.priority())
	wait := g.waitFor(now, h.Class.priority(), ahead)
	share := g.usage.Rank(now, p.Key().Caller().IP(), h.Origin)
	if g.mayQueue(now, h, share, lostTime(p), ahead, wait) {
		return 0, wait
	}
	return Busy, wait
}

// mayQueue reports whether a flow that finds no free slot is let in.
func (g *Guard) mayQueue(now time.Time, h Header, share uint8, lost time.Duration, ahead gdwait.Load, wait time.Duration) bool {
	objective := gdwait.Objective(h.Class.Objective, h.Class.Timeout)
	latest := gdwait.LatestStart(objective - lost)
	urgent := g.work.wait.UrgentWait(now, h.Class.Priority, ahead)
	switch {
	case objective == 0:
		return g.work.n < g.slots()*maxLoadPerSlot(h)
	case !h.Forced:
		return false // an upstream with a free slot goes first
	case !g.work.wait.HasRoom(now, h.Class.Priority, ahead.Requests):
		return false
	case share == gdshare.Above:
		return wait <= latest && urgent <= latest/aboveShareDivisor
	case wait <= latest:
		return true
	case wait > gdwait.LatestStart(h.Class.Timeout-lost):
		return false
	}
	return urgent <= max(latest, objective/newcomerDivisor) || !g.anyInTime(now)
}

// anyInTime reports whether a request of any route here can be answered within its objective.
func (g *Guard) anyInTime(now time.Time) bool {
	for service := range g.classes {
		c, ok := g.classes.get(now, service)
		if ok && g.work.wait.SlotTime(now, service) <= gdwait.Objective(c.Objective, c.Timeout) {
			return true
		}
	}
	return false
}

// waitFor returns how long a new request of the priority would wait for a slot. Ahead is what
// goes first and has not reached the upstream.
func (g *Guard) waitFor(now time.Time, priority uint8, ahead gdwait.Load) time.Duration {
	g.work.wait.SetUpstream(g.slots(), g.isCold(now))
	return g.work.wait.Wait(now, priority, ahead)
}

// ExpectedWait returns how long a new request of the least priority would wait for a slot of
// the upstream.
func (g *Guard) ExpectedWait(now time.Time) time.Duration {
	return g.waitFor(now, unknownPriority, g.ahead(now, unknownPriority))
}

// ahead returns the requests that have not reached the upstream and that go before a new one
// of the priority.
func (g *Guard) ahead(now time.Time, priority uint8) gdwait.Load {
	var l gdwait.Load
	for _, r := range g.work.offered {
		if r.expected() && r.priority <= priority {
			l = l.Plus(gdwait.Load{Requests: 1, Time: g.work.wait.SlotTime(now, r.service)})
		}
	}
	for r := range g.backlog.UpTo(priority) {
		l = l.Plus(gdwait.Load{Requests: 1, Time: g.work.wait.SlotTime(now, r.Value.key.Service())})
	}
	return l
}

// slots returns the number of slots of the upstream. One that claims to have none is tried.
func (g *Guard) slots() int { return max(int(g.status.Slots), 1) }

// lostTime returns how long ago the caller sent the first copy of the opening packet.
func lostTime(p gdflow.Packet) time.Duration {
	switch p.Retransmits() {
	case 0:
		return 0
	case 1:
		return firstCopyAfter
	}
	return secondCopyAfter
}

// unavailable returns why the upstream gets no flows but probes, or 0.
func (g *Guard) unavailable(now time.Time) Reason {
	switch {
	case g.exited:
		return Exited
	case g.answers.silent(now):
		return Silent
	}
	return 0
}

// maxLoadPerSlot returns the load per slot up to which the upstream accepts the flow.
func maxLoadPerSlot(h Header) int {
	switch {
	case h.Forced && h.Urgent:
		return urgentDepth
	case h.Forced:
		return forcedDepth
	}
	return 1
}
