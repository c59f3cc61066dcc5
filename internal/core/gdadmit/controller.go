package gdadmit

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const (
	// DefaultMaxQueue is the default maximum number of waiting requests.
	DefaultMaxQueue = 32
	// DefaultMaxStreams is the default maximum number of open streams.
	DefaultMaxStreams = 2000
	// DefaultMaxWait is the default maximum time that a request waits for its start.
	DefaultMaxWait = time.Second
	// DefaultRamp is the default time over which a cold upstream gets its full load.
	DefaultRamp = config.DefaultRampSeconds * time.Second
)

// slotTimeInverseWeight is the inverse of the newest value's weight in the mean time
// that a request holds its slot.
const slotTimeInverseWeight = 8

// Load is the load of an upstream as its agent reports it to its peers.
type Load = gdselector.Load

// DefaultController is a controller with the limiter in use.
type DefaultController = Controller[*AIMD]

// Controller is the admission controller of one upstream. The exported fields must be
// set before the first call. It is not safe for concurrent use.
//
// Invariants: no more requests hold a slot than the limit allowed when the last one
// started, nor more than Slots; each request that arrives gets exactly one action,
// unless it is cancelled first; a cancelled request is never started.
type Controller[L Limiter] struct {
	// Slots is the maximum number of concurrent requests of the upstream.
	Slots int
	// Limiter bounds the running requests within the slots.
	Limiter L
	// MaxQueue is the maximum number of waiting requests. Zero means
	// DefaultMaxQueue.
	MaxQueue int
	// MaxStreams is the maximum number of open streams, whose headers have arrived.
	// Zero means DefaultMaxStreams.
	MaxStreams int
	// MaxWait is the maximum time that a request waits. Zero means DefaultMaxWait.
	MaxWait time.Duration
	// Ramp is the time over which a cold upstream gets its full load. Zero means
	// DefaultRamp.
	Ramp time.Duration
	// Rand is the random source for the jitter of retry times.
	Rand *rand.Rand
	// Selector chooses the peer to relay to. If it is nil, nothing is relayed.
	Selector *gdselector.Selector

	initialized     bool
	mode            Mode
	healthy         bool
	lastEvent       time.Time
	lastGoodOutcome time.Time
	waiting         queue[job]
	running         []job
	streams         map[uint64]struct{}
	slotTime        average
	demand          gdwait.Demand
	actions         []Action
}

// Arrive decides on a new request or queues it. The actions may also concern waiting
// requests that it evicts.
func (c *Controller[L]) Arrive(now time.Time, r Request) []Action {
	c.beginEvent(now)
	j := job{Request: r, startBy: latestStart(now, r, c.maxWait())}
	if reason, ok := c.refusalReason(now, j); ok {
		c.relayOrRefuse(now, j, reason)
		return c.endEvent(now)
	}
	c.demand.Add(now, r.priority)
	if c.waiting.len() >= c.maxQueue() && !c.canStartNow(now) && !c.evictFor(now, j) {
		c.relayOrRefuse(now, j, ReasonQueueFull)
		return c.endEvent(now)
	}
	c.waiting.push(j)
	return c.endEvent(now)
}

// refusalReason returns the reason, if any, to refuse the request on arrival.
func (c *Controller[L]) refusalReason(now time.Time, j job) (Reason, bool) {
	switch {
	case j.expired(now):
		return ReasonExpired, true
	case c.mode == ModeLeaving:
		return ReasonLeaving, true
	case c.mode == ModeStopping:
		return ReasonStopping, true
	case c.mode == ModeOut:
		return ReasonDomainOut, true
	case j.Stream() && len(c.streams) >= c.maxStreams():
		return ReasonStreamLimit, true
	}
	return 0, false
}

// canStartNow reports whether a slot is free and no request waits for it.
func (c *Controller[L]) canStartNow(now time.Time) bool {
	return c.waiting.len() == 0 && len(c.running) < c.limit(now)
}

// evictFor evicts the last waiting request if j is more urgent, and reports whether
// it did.
func (c *Controller[L]) evictFor(now time.Time, j job) bool {
	if c.waiting.len() == 0 || !j.before(c.waiting.last()) {
		return false
	}
	c.relayOrRefuse(now, c.waiting.remove(c.waiting.len()-1), ReasonEvicted)
	return true
}

// ObserveHeader records the arrival of the response header of a started request,
// which determines its latency before its end. A stream releases its slot and counts
// as an open stream until Finish. The call is optional for other requests.
func (c *Controller[L]) ObserveHeader(now time.Time, id uint64) []Action {
	c.beginEvent(now)
	i := c.runningIndex(id)
	if i < 0 {
		return c.endEvent(now)
	}
	j := &c.running[i]
	c.observe(now, *j, NewOutcome(OutcomeOK, now.Sub(j.started), true))
	j.headerSampled = true
	if j.Stream() {
		c.slotTime.add(now.Sub(j.started), slotTimeInverseWeight)
		c.streams[id] = struct{}{}
		c.releaseSlot(i)
	}
	return c.endEvent(now)
}

// Finish records the end of a started request, including one that was cancelled.
func (c *Controller[L]) Finish(now time.Time, id uint64, o Outcome) []Action {
	c.beginEvent(now)
	delete(c.streams, id)
	if i := c.runningIndex(id); i >= 0 {
		j := c.releaseSlot(i)
		c.observeSlotTime(now, j, o)
		c.observe(now, j, o)
	}
	return c.endEvent(now)
}

// Cancel records that the caller cancelled a request. A waiting request is removed
// and gets no action. A running request keeps its slot until Finish, because the
// upstream may still work on it.
func (c *Controller[L]) Cancel(now time.Time, id uint64) []Action {
	c.beginEvent(now)
	for i, j := range c.waiting.items {
		if j.id == id {
			c.waiting.remove(i)
			break
		}
	}
	return c.endEvent(now)
}

// Tick decides again as time has passed. Call it at the time that NextTick returns,
// which changes with each event.
func (c *Controller[L]) Tick(now time.Time) []Action {
	c.beginEvent(now)
	return c.endEvent(now)
}

// Load returns the load to report to the peers at now.
func (c *Controller[L]) Load(now time.Time) Load {
	c.init(now)
	limit := 0
	if c.mode == ModeServing {
		limit = c.limit(now)
	}
	started := uint64(0)
	if c.Selector != nil {
		started = c.Selector.Started()
	}
	return gdselector.NewLoad(len(c.running), c.waiting.len(), limit, started)
}

// AcceptsFlow reports whether a new flow should stay at this upstream. Otherwise it
// should move to the peer that [gdselector.Selector.Move] returns, or stay if there
// is none.
func (c *Controller[L]) AcceptsFlow(now time.Time) bool {
	return len(c.streams) < c.maxStreams() && c.Load(now).AcceptsMove()
}

// OpenStreams returns the number of open streams.
func (c *Controller[L]) OpenStreams() int { return len(c.streams) }

// ObservePeerLoad records the load that a peer reported.
func (c *Controller[L]) ObservePeerLoad(now time.Time, id gdconf.UpstreamID, l Load) {
	if c.Selector != nil {
		c.Selector.ObservePeerLoad(now, id, l)
	}
}

// ReleasePeerSlot records that a relayed request no longer holds a slot at the peer,
// because its response has begun or it has failed.
func (c *Controller[L]) ReleasePeerSlot(id gdconf.UpstreamID) {
	if c.Selector != nil {
		c.Selector.ReleaseSlot(id)
	}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (c *Controller[L]) SetSlots(now time.Time, slots int) []Action {
	c.beginEvent(now)
	c.Slots = slots
	c.Limiter.Init(now, slots, c.ramp())
	return c.endEvent(now)
}

func (c *Controller[L]) runningIndex(id uint64) int {
	for i, j := range c.running {
		if j.id == id {
			return i
		}
	}
	return -1
}

// releaseSlot removes the job at index i from the running ones and returns it.
func (c *Controller[L]) releaseSlot(i int) job {
	j := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	return j
}
