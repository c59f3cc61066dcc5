package gdadmit

import "time"

// trustGood is the time for which a good answer outranks a health endpoint that
// says otherwise.
const trustGood = 5 * time.Second

// observe passes the outcome of a request on to the limiter, unless the request
// has told the limiter the same before.
func (c *Controller[L]) observe(now time.Time, j job, o Outcome) {
	latency := o.latency
	if latency == 0 {
		latency = now.Sub(j.started)
	}
	if j.stalled || j.late || j.answered && o.kind == OutcomeOK {
		return
	}
	if slow := c.Limiter.SlowThreshold(); o.kind == OutcomeOK && (slow == 0 || latency < slow) {
		c.lastGood = now
	}
	c.Limiter.Observe(now, NewSample(o.kind, latency, j.saturated))
}

// occupied takes in the time for which a finished request held its slot.
func (c *Controller[L]) occupied(now time.Time, j job, o Outcome) {
	if !j.stalled && (o.kind == OutcomeOK || o.kind == OutcomeTimeout) {
		c.service.add(now.Sub(j.started), serviceShare)
	}
}

// judgeLate reports requests that have waited for their header for several times
// the warm latency, without waiting for their end.
func (c *Controller[L]) judgeLate(now time.Time) {
	for i := range c.running {
		j := &c.running[i]
		slow := c.Limiter.SlowThreshold()
		took := now.Sub(j.started)
		if slow == 0 || j.late || j.stalled || j.answered || took < slow {
			continue
		}
		j.late = true
		c.Limiter.Observe(now, NewSample(OutcomeOK, took, j.saturated))
	}
}

// ObserveProbe notes what the health endpoint says. It is a hint: a healthy upstream
// gains nothing by it, and an unhealthy one starts slowly again only when no
// good answer has come of late.
func (c *Controller[L]) ObserveProbe(now time.Time, healthy bool) {
	c.prepare(now)
	fell := c.healthy && !healthy
	c.healthy = healthy
	if fell && now.Sub(c.lastGood) > trustGood {
		c.Limiter.Restart(now)
	}
}
