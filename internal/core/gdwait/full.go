package gdwait

import "time"

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
