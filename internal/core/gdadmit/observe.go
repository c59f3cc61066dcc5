package gdadmit

import "time"

// goodOutcomeTTL is the time for which a good outcome overrides a failed health check.
const goodOutcomeTTL = 5 * time.Second

// observe reports the outcome of a request to the limiter, unless the same outcome of
// the request was reported before.
func (c *Controller[L]) observe(now time.Time, j job, o Outcome) {
	latency := o.latency
	if latency == 0 {
		latency = now.Sub(j.started)
	}
	if j.stalled || j.lateSampled || j.headerSampled && o.kind == OutcomeOK {
		return
	}
	if slow := c.Limiter.SlowThreshold(); o.kind == OutcomeOK && (slow == 0 || latency < slow) {
		c.lastGoodOutcome = now
	}
	c.Limiter.Observe(now, NewSample(o.kind, latency, j.saturated))
}

// observeSlotTime records the time for which a finished request held its slot.
func (c *Controller[L]) observeSlotTime(now time.Time, j job, o Outcome) {
	if !j.stalled && (o.kind == OutcomeOK || o.kind == OutcomeTimeout) {
		c.slotTime.add(now.Sub(j.started), slotTimeInverseWeight)
	}
}

// sampleLateHeaders reports to the limiter, without waiting for their end, the requests
// whose response header is late by several times the warm latency.
func (c *Controller[L]) sampleLateHeaders(now time.Time) {
	for i := range c.running {
		j := &c.running[i]
		slow := c.Limiter.SlowThreshold()
		took := now.Sub(j.started)
		if slow == 0 || j.lateSampled || j.stalled || j.headerSampled || took < slow {
			continue
		}
		j.lateSampled = true
		c.Limiter.Observe(now, NewSample(OutcomeOK, took, j.saturated))
	}
}

// ObserveProbe records the result of a health check. It is only a hint: a healthy
// result has no effect, and a change to unhealthy restarts the slow start only if
// there was no recent good outcome.
func (c *Controller[L]) ObserveProbe(now time.Time, healthy bool) {
	c.init(now)
	failed := c.healthy && !healthy
	c.healthy = healthy
	if failed && now.Sub(c.lastGoodOutcome) > goodOutcomeTTL {
		c.Limiter.Restart(now)
	}
}
