package gdadmit

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry time of a refusal before random
	// jitter is added.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// wait estimates the time until the start of a request with the given number of
// waiting requests ahead of it. More urgent requests that arrive in the meantime go
// first, so it assumes only the share of the upstream that they leave.
func (c *Controller[L]) wait(now time.Time, ahead, priority int) time.Duration {
	limit := c.limit(now)
	if limit == 0 {
		return c.Limiter.PausedUntil().Sub(now) + time.Duration(ahead)*c.slotTime.value
	}
	ahead += max(len(c.running)-limit, 0)
	d := c.nextSlotFree(now) + time.Duration(ahead)*c.slotTime.value/time.Duration(limit)
	return time.Duration(float64(d) / (1 - c.urgentShare(now, limit, priority)))
}

// urgentShare estimates the share of the upstream that more urgent arrivals use.
func (c *Controller[L]) urgentShare(now time.Time, limit, priority int) float64 {
	share := c.demand.moreUrgentRate(now, priority) * c.slotTime.value.Seconds() / float64(limit)
	return min(share, maxUrgentShare)
}

// nextSlotFree estimates the time until the first running request ends. An overdue
// request is expected to take as long again as it is overdue.
func (c *Controller[L]) nextSlotFree(now time.Time) time.Duration {
	var first time.Duration
	for i, j := range c.running {
		left := (c.slotTime.value - now.Sub(j.started)).Abs()
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
