package gdadmit

import "time"

const (
	// WaitingTickInterval is the interval between ticks while requests wait.
	WaitingTickInterval = 20 * time.Millisecond
	// RunningTickInterval is the interval between ticks while requests run and none
	// waits.
	RunningTickInterval = 100 * time.Millisecond
	// stallGap is the time without an event, while requests run, after which this
	// process must have been paused.
	stallGap = time.Second
)

// NextTick returns the time of the next Tick, or the zero time if none is needed.
func (c *Controller[L]) NextTick() time.Time {
	switch {
	case c.waiting.len() > 0:
		return c.lastEvent.Add(WaitingTickInterval)
	case len(c.running) > 0:
		return c.lastEvent.Add(RunningTickInterval)
	}
	return time.Time{}
}

// init initializes the controller before its first event.
func (c *Controller[L]) init(now time.Time) {
	if c.initialized {
		return
	}
	c.initialized = true
	c.streams = make(map[uint64]struct{})
	c.Limiter.Init(now, c.Slots, c.ramp())
}

// beginEvent begins an event. If this process was paused, it marks the running
// requests as stalled, because their times say nothing about the upstream.
func (c *Controller[L]) beginEvent(now time.Time) {
	c.init(now)
	if len(c.running) > 0 && now.Sub(c.lastEvent) > stallGap {
		for i := range c.running {
			c.running[i].stalled = true
		}
	}
	c.lastEvent = now
	c.sampleLateHeaders(now)
}

// endEvent ends an event: it starts waiting requests in free slots, relays or refuses
// those that would start too late, and returns the actions.
func (c *Controller[L]) endEvent(now time.Time) []Action {
	c.dispatch(now)
	c.relayOrRefuseLate(now)
	out := c.actions
	c.actions = nil
	return out
}

// dispatch starts waiting requests in order while slots are free. On an idle upstream
// it ignores the estimates, so that a wrong estimate can be corrected.
func (c *Controller[L]) dispatch(now time.Time) {
	for c.waiting.len() > 0 && len(c.running) < c.limit(now) {
		j := c.waiting.remove(0)
		if reason, late := c.lateReason(now, j, now); late && (len(c.running) > 0 || j.expired(now)) {
			c.relayOrRefuse(now, j, reason)
			continue
		}
		c.start(now, j)
	}
}

// relayOrRefuseLate relays or refuses the waiting requests whose estimated start is
// too late.
func (c *Controller[L]) relayOrRefuseLate(now time.Time) {
	for i := 0; i < c.waiting.len(); {
		j := c.waiting.items[i]
		reason, late := c.lateReason(now, j, now.Add(c.wait(now, i, j.priority)))
		if !late {
			i++
			continue
		}
		c.relayOrRefuse(now, c.waiting.remove(i), reason)
	}
}

// lateReason returns the reason, if any, why a start at the given time is too late.
func (c *Controller[L]) lateReason(now time.Time, j job, start time.Time) (Reason, bool) {
	if j.expired(now) {
		return ReasonExpired, true
	}
	return ReasonDeadline, !j.inTime(start, c.slotTime.value)
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

// relayOrRefuse relays the request to a peer with free capacity, or else refuses it.
func (c *Controller[L]) relayOrRefuse(now time.Time, j job, reason Reason) {
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

func (c *Controller[L]) maxQueue() int { return orDefault(c.MaxQueue, DefaultMaxQueue) }

func (c *Controller[L]) maxStreams() int { return orDefault(c.MaxStreams, DefaultMaxStreams) }

// orDefault returns x, or the fallback when x is zero.
func orDefault[T int | time.Duration](x, fallback T) T {
	if x == 0 {
		return fallback
	}
	return x
}
