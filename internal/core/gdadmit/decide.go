package gdadmit

import "time"

const (
	// WaitingTickInterval is the time between two ticks while requests wait.
	WaitingTickInterval = 20 * time.Millisecond
	// RunningTickInterval is the time between two ticks while requests run.
	RunningTickInterval = 100 * time.Millisecond
	// stallGap is the time without an event, while requests run, from which this
	// process must have been paused.
	stallGap = time.Second
)

// NextTick returns the time of the next Tick, or zero when none is needed.
func (c *Controller[L]) NextTick() time.Time {
	switch {
	case c.waiting.len() > 0:
		return c.last.Add(WaitingTickInterval)
	case len(c.running) > 0:
		return c.last.Add(RunningTickInterval)
	}
	return time.Time{}
}

// prepare sets the core up before its first event.
func (c *Controller[L]) prepare(now time.Time) {
	if c.ready {
		return
	}
	c.ready = true
	c.streams = make(map[uint64]struct{})
	c.Limiter.Init(now, c.Slots, c.ramp())
}

// enter begins an event. After a stall of this process the times of running
// requests say nothing about the upstream.
func (c *Controller[L]) enter(now time.Time) {
	c.prepare(now)
	if len(c.running) > 0 && now.Sub(c.last) > stallGap {
		for i := range c.running {
			c.running[i].stalled = true
		}
	}
	c.last = now
	c.judgeLate(now)
}

// leave ends an event: it fills free slots, gives up what waits in vain and
// hands the actions over.
func (c *Controller[L]) leave(now time.Time) []Action {
	c.dispatch(now)
	c.sweep(now)
	out := c.actions
	c.actions = nil
	return out
}

// dispatch starts waiting requests in order while slots are free. An idle
// upstream is always tried, whatever the estimates say, so that a wrong estimate
// can be corrected.
func (c *Controller[L]) dispatch(now time.Time) {
	for c.waiting.len() > 0 && len(c.running) < c.limit(now) {
		j := c.waiting.remove(0)
		if reason, late := c.late(now, j, now); late && (len(c.running) > 0 || j.expired(now)) {
			c.giveUp(now, j, reason)
			continue
		}
		c.start(now, j)
	}
}

// sweep gives up the waiting requests whose estimated start comes too late.
func (c *Controller[L]) sweep(now time.Time) {
	for i := 0; i < c.waiting.len(); {
		j := c.waiting.items[i]
		reason, late := c.late(now, j, now.Add(c.wait(now, i, j.priority)))
		if !late {
			i++
			continue
		}
		c.giveUp(now, c.waiting.remove(i), reason)
	}
}

// late reports why a start at the given moment is of no use.
func (c *Controller[L]) late(now time.Time, j job, start time.Time) (Reason, bool) {
	if j.expired(now) {
		return ReasonExpired, true
	}
	return ReasonDeadline, !j.inTime(start, c.service.value)
}

func (c *Controller[L]) start(now time.Time, j job) {
	j.started = now
	j.saturated = len(c.running)+1 >= c.limit(now)
	c.running = append(c.running, j)
	if c.Selector != nil {
		c.Selector.ObserveStart(now)
	}
	c.actions = append(c.actions, Action{kind: KindStart, id: j.id})
}

// giveUp relays the request to a peer with room or refuses it at once.
func (c *Controller[L]) giveUp(now time.Time, j job, reason Reason) {
	a := Action{kind: KindRefuse, id: j.id, reason: reason}
	if peer, ok := c.relay(now, j.Request, reason); ok {
		a.kind = KindRelay
		a.peer = peer
	} else {
		a.retryAfter = c.retryAfter(now, j.Request, reason)
	}
	c.actions = append(c.actions, a)
}

func (c *Controller[L]) limit(now time.Time) int { return min(c.Limiter.Limit(now), c.Slots) }

func (c *Controller[L]) ramp() time.Duration { return orDefault(c.Ramp, DefaultRamp) }

func (c *Controller[L]) maxWait() time.Duration { return orDefault(c.MaxWait, DefaultMaxWait) }

func (c *Controller[L]) queueBound() int { return orDefault(c.MaxQueue, DefaultMaxQueue) }

func (c *Controller[L]) streamBound() int { return orDefault(c.MaxStreams, DefaultMaxStreams) }

// orDefault returns x, or the fallback when x is zero.
func orDefault[T int | time.Duration](x, fallback T) T {
	if x == 0 {
		return fallback
	}
	return x
}
