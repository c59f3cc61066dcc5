package gdadmit

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time of a refusal before random
	// jitter is added.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// wait estimates the time until the start of a request with the given number of
// waiting requests ahead of it.
func (c *Controller[L]) wait(now time.Time, ahead, priority int) time.Duration {
	limit := c.limit(now)
	if limit == 0 {
		return c.Limiter.PausedUntil().Sub(now) + time.Duration(ahead)*c.slotTime.value
	}
	ahead += max(len(c.running)-limit, 0)
	return gdwait.Queue{
		NextFree: c.nextSlotFree(now), Ahead: time.Duration(ahead) * c.slotTime.value, Slots: limit,
		UrgentShare: gdwait.UrgentShare(c.demand.MoreUrgentRate(now, priority), c.slotTime.value, limit),
	}.Wait()
}

// nextSlotFree estimates the time until the first running request ends.
func (c *Controller[L]) nextSlotFree(now time.Time) time.Duration {
	var first time.Duration
	for i, j := range c.running {
		left := gdwait.SlotTimeLeft(c.slotTime.value, now.Sub(j.started))
		if i == 0 || left < first {
			first = left
		}
	}
	return first
}

// retryAfter returns the time after which a refused caller should retry. It is
// randomized so that callers that were refused together do not retry together.
func (c *Controller[L]) retryAfter(now time.Time, r Request, reason Reason) time.Duration {
	d := time.Duration(minRetryAfter)
	switch reason {
	case ReasonLeaving, ReasonStopping, ReasonDomainOut, ReasonStreamLimit:
		// Another upstream may accept the request at once.
	default:
		d = max(d, c.wait(now, c.waiting.len(), r.priority)+c.slotTime.value)
	}
	d = min(d, maxRetryAfter)
	return d + time.Duration(c.Rand.Int64N(int64(d)/2+1))
}
