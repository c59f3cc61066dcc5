// Package gdwait estimates how long a request waits until a slot of its upstream serves it.
//
// # Usage
//
//	var e gdwait.Estimator[uint64]
//	e.SetUpstream(slots, cold)
//	e.Deliver(now, id, kind, priority) // a request reaches the upstream
//	e.Answered(now, id)                // its answer begins
//	wait := e.Wait(now, priority, expected)
//
// The upstream is modelled as a queue that serves requests in the order of their delivery, so
// that the observed time in a slot does not include the time in the upstream's queue.
package gdwait

import "time"

const (
	// maxUrgentShare limits the share of the upstream that is reserved for more urgent
	// arrivals, so that the estimate of a wait stays finite.
	maxUrgentShare = 0.95
	// latestStartDivisor: a request should begin within a third of its time. The rest is for
	// its work, its way and the error of the estimate.
	latestStartDivisor = 3
)

// LatestStart returns how long a request may wait that has some time left until its answer
// should arrive.
func LatestStart(left time.Duration) time.Duration { return left / latestStartDivisor }

// Objective returns the time within which an answer has its full value: a latency objective
// that is longer than the time after which the caller gives up is cut to it. 0 means unknown.
func Objective(objective, timeout time.Duration) time.Duration {
	if timeout > 0 {
		objective = min(objective, timeout)
	}
	return max(objective, 0)
}

// Queue is what a new request waits for.
type Queue struct {
	// NextFree is the time until the next slot is free.
	NextFree time.Duration
	// Ahead is the time in slots of the requests that go first and have not begun.
	Ahead time.Duration
	// Slots is the number of slots, at least 1.
	Slots int
	// UrgentShare is the share of the slots that more urgent arrivals take.
	UrgentShare float64
}

// Wait returns the time until a slot serves the request. More urgent requests that arrive in
// the meantime go first, so only the share of the upstream counts that they leave.
func (q Queue) Wait() time.Duration {
	d := q.NextFree + q.Ahead/time.Duration(q.Slots)
	return time.Duration(float64(d) / (1 - q.UrgentShare))
}

// UrgentShare returns the share of the slots that requests take which arrive at a rate per
// second and hold a slot for slotTime.
func UrgentShare(rate float64, slotTime time.Duration, slots int) float64 {
	return min(rate*slotTime.Seconds()/float64(slots), maxUrgentShare)
}

// SlotTimeLeft returns for how long a request is expected to hold its slot that has held it
// for some time. An overdue request is expected to take as long again as it is overdue.
func SlotTimeLeft(slotTime, held time.Duration) time.Duration { return (slotTime - held).Abs() }
