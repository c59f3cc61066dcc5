package gdwait

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Load is a number of requests and their time in slots.
type Load struct {
	Requests int
	Time     time.Duration
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{Requests: l.Requests + m.Requests, Time: l.Time + m.Time}
}

// Estimator estimates how long requests wait for a slot of one upstream. R identifies a
// request. The zero value is an idle upstream with one slot. It is not safe for concurrent use.
type Estimator[R comparable] struct {
	slots   int
	state   int // the index of slotTimes.byState
	latest  time.Time
	running []request[R] // those that hold a slot
	queued  []request[R] // those in the upstream's queue, in the order of their delivery
	kinds   kinds
	demand  Demand
	full    fullQueue
	deepest int // the most requests that were in the upstream's queue
	early   earlyAnswers
}

type request[R comparable] struct {
	id       R
	kind     gdflow.Address
	priority uint8
	at       time.Time // its delivery
	began    time.Time
}

// SetUpstream sets the number of slots, where 0 counts as 1, and whether the upstream is cold.
func (e *Estimator[R]) SetUpstream(slots int, cold bool) {
	e.slots, e.state = max(slots, 1), 0
	if cold {
		e.state = 1
	}
	e.start()
}

// Deliver records that a request reaches the upstream. The kind is the service address of
// its route.
func (e *Estimator[R]) Deliver(now time.Time, id R, kind gdflow.Address, priority uint8) {
	e.latest = now
	e.demand.Add(now, int(priority))
	e.queued = append(e.queued, request[R]{id: id, kind: kind, priority: priority, at: now})
	e.start()
}

// Answered records that the answer to a request begins, and so its slot is free. A request
// that is still queued here tells nothing of the time in a slot. If its answer comes at once,
// the upstream's queue is full, and Answered reports that it has rejected the request.
func (e *Estimator[R]) Answered(now time.Time, id R) (rejected bool) {
	e.latest = now
	if i := index(e.running, id); i >= 0 {
		r, d := e.running[i], now.Sub(e.running[i].began)
		e.early.note(now, e.kinds.isEarly(now, r.kind, e.state, d))
		e.kinds.add(now, r.kind, e.state, d)
	} else if i := index(e.queued, id); i >= 0 {
		r := e.queued[i]
		if now.Sub(r.at) < e.SlotTime(now, r.kind)/rejectionDivisor {
			e.full, rejected = fullQueue{at: now, requests: len(e.running) + i}, true
		}
	}
	e.Remove(id)
	return rejected
}

// Remove removes a request without an answer.
func (e *Estimator[R]) Remove(id R) {
	if i := index(e.running, id); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.start()
	} else if i := index(e.queued, id); i >= 0 {
		e.queued = slices.Delete(e.queued, i, i+1)
	}
}

// Clear removes all requests and what was observed of the upstream's process, because that is
// gone. The times are kept.
func (e *Estimator[R]) Clear() {
	e.running, e.queued, e.full, e.deepest, e.early = nil, nil, fullQueue{}, 0, earlyAnswers{}
}

// MoreUrgentRate returns how many requests per second of more urgent priorities were delivered
// lately.
func (e *Estimator[R]) MoreUrgentRate(now time.Time, priority uint8) float64 {
	return e.demand.MoreUrgentRate(now, int(priority))
}

func index[R comparable](list []request[R], id R) int {
	return slices.IndexFunc(list, func(r request[R]) bool { return r.id == id })
}

// start gives the free slots to the requests that were delivered first.
func (e *Estimator[R]) start() {
	n := min(max(max(e.slots, 1)-len(e.running), 0), len(e.queued))
	for _, r := range e.queued[:n] {
		r.began = e.latest
		e.running = append(e.running, r)
	}
	e.queued = slices.Delete(e.queued, 0, n)
	if n > 0 {
		e.deepest = max(e.deepest, len(e.queued))
	}
}

// SlotTime returns how long a request of the kind is expected to hold a slot.
func (e *Estimator[R]) SlotTime(now time.Time, kind gdflow.Address) time.Duration {
	return e.kinds.expected(now, kind, e.state)
}

// Wait returns how long a new request would wait for a slot. Expected is what goes first and
// has not reached the upstream yet.
func (e *Estimator[R]) Wait(now time.Time, priority uint8, expected Load) time.Duration {
	return e.wait(now, priority, expected.Plus(e.queuedLoad(now, func(request[R]) bool { return true })))
}

// UrgentWait returns how long a new request would wait if the less urgent requests in the
// upstream's queue were not there.
func (e *Estimator[R]) UrgentWait(now time.Time, priority uint8, expected Load) time.Duration {
	return e.wait(now, priority, expected.Plus(e.queuedLoad(now, func(r request[R]) bool { return r.priority <= priority })))
}

func (e *Estimator[R]) queuedLoad(now time.Time, counts func(request[R]) bool) Load {
	var l Load
	for _, r := range e.queued {
		if counts(r) {
			l = l.Plus(Load{Requests: 1, Time: e.SlotTime(now, r.kind)})
		}
	}
	return l
}

func (e *Estimator[R]) wait(now time.Time, priority uint8, ahead Load) time.Duration {
	slots, each := max(e.slots, 1), e.kinds.expected(now, gdflow.Address{}, e.state)
	idle, excess := max(slots-len(e.running), 0), max(len(e.running)-slots, 0)
	ahead.Time += time.Duration(excess) * each // the upstream has lost slots
	share := UrgentShare(e.demand.MoreUrgentRate(now, int(priority)), each, slots)
	if ahead.Requests < idle {
		return 0
	}
	next, first := time.Duration(0), true
	for _, r := range e.running {
		if left := SlotTimeLeft(e.SlotTime(now, r.kind), now.Sub(r.began)); first || left < next {
			next, first = left, false
		}
	}
	if idle > 0 {
		// Requests that go first are about to take the idle slots.
		each = ahead.Time / time.Duration(ahead.Requests)
		ahead.Time -= each * time.Duration(idle)
		if first || each < next {
			next = each
		}
	}
	return Queue{NextFree: next, Ahead: ahead.Time, Slots: slots, UrgentShare: share}.Wait()
}
