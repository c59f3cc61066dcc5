package gdadmit

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time to come back of a refusal,
	// before its random spread.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// wait estimates the time until a request starts that has the given number of
// waiting requests ahead of it. More urgent requests that arrive in the meantime
// go first, so only the share of the upstream that they leave counts.
func (c *Controller[L]) wait(now time.Time, ahead, priority int) time.Duration {
	limit := c.limit(now)
	if limit == 0 {
		return c.Limiter.PausedUntil().Sub(now) + time.Duration(ahead)*c.service.value
	}
	ahead += max(len(c.running)-limit, 0)
	d := c.firstFree(now) + time.Duration(ahead)*c.service.value/time.Duration(limit)
	return time.Duration(float64(d) / (1 - c.urgentShare(now, limit, priority)))
}

// urgentShare estimates the share of the upstream that more urgent arrivals take.
func (c *Controller[L]) urgentShare(now time.Time, limit, priority int) float64 {
	share := c.demand.above(now, priority) * c.service.value.Seconds() / float64(limit)
	return min(share, maxUrgentShare)
}

// firstFree estimates the time until the first running request ends. One that is
// overdue is expected to take as long again as it is overdue.
func (c *Controller[L]) firstFree(now time.Time) time.Duration {
	var first time.Duration
	for i, j := range c.running {
		left := (c.service.value - now.Sub(j.started)).Abs()
		if i == 0 || left < first {
			first = left
		}
	}
	return first
}

// retryAfter returns the time after which a refused caller should come back,
// spread so that callers who were refused together do not return together.
func (c *Controller[L]) retryAfter(now time.Time, r Request, reason Reason) time.Duration {
	d := time.Duration(minRetryAfter)
	switch reason {
	case ReasonLeaving, ReasonStopping, ReasonDomainOut, ReasonStreamLimit:
		// Another upstream may take the request at once.
	default:
		d = max(d, c.wait(now, c.waiting.len(), r.priority)+c.service.value)
	}
	d = min(d, maxRetryAfter)
	return d + time.Duration(c.Rand.Int64N(int64(d)/2+1))
}
