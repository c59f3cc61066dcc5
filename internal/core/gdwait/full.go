package gdwait

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// rejectionDivisor: an upstream rejects a request in less than a quarter of the time that
	// it holds a slot.
	rejectionDivisor = 4
	// fullTTL is how long it is remembered at how many requests an upstream rejected one.
	fullTTL = time.Second
)

// fullQueue is the number of requests at an upstream that made it reject one.
type fullQueue struct {
	at       time.Time
	requests int
}

// Full reports whether the upstream has rejected a request lately with no more requests than it
// has now.
func (e *Estimator[R]) Full(now time.Time) bool {
	return now.Sub(e.full.at) < fullTTL && len(e.running)+len(e.queued) >= max(e.full.requests, e.slots)
}

// HasRoom reports whether the upstream's own queue has room for a new request beside those that
// are expected: in all, and in half of the queue for those that are at least as urgent. The
// other half is for requests on open flows.
func (e *Estimator[R]) HasRoom(now time.Time, priority uint8, expected int) bool {
	if now.Sub(e.full.at) >= fullTTL {
		return true
	}
	slots := max(e.slots, 1)
	limit := max(e.full.requests, slots)
	urgent := 0
	for _, list := range [][]request[R]{e.running, e.queued} {
		for _, r := range list {
			if r.priority <= priority {
				urgent++
			}
		}
	}
	return len(e.running)+len(e.queued)+expected < limit && urgent+expected < slots+(limit-slots)/2
}

// QueueTime returns how long the last request in the upstream's own queue waits when it is full:
// when it holds as many as made the upstream reject one since it was started or, before that, as
// many as it was seen to hold.
func (e *Estimator[R]) QueueTime(now time.Time) time.Duration {
	slots, places := max(e.slots, 1), e.deepest
	if !e.full.at.IsZero() {
		places = max(e.full.requests-slots, 0)
	}
	return time.Duration(places) * e.kinds.expected(now, gdflow.Address{}, e.state) / time.Duration(slots)
}
