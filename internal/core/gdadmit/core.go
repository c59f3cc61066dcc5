package gdadmit

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

const (
	// DefaultMaxQueue is the bound of the waiting queue.
	DefaultMaxQueue = 32
	// DefaultMaxStreams is the number of open streams that one upstream bears.
	DefaultMaxStreams = 2000
	// DefaultMaxWait is the longest time that a request waits for its start.
	DefaultMaxWait = time.Second
	// DefaultRamp is the time over which a cold upstream gets its full load.
	DefaultRamp = config.DefaultRampSeconds * time.Second
)

// serviceShare is the inverse of the newest value's weight in the mean time that
// a request holds its slot.
const serviceShare = 8

// Load is what an agent tells its peers about its upstream.
type Load = gdselector.Load

// DefaultController guards one upstream with the limiter in use.
type DefaultController = Controller[*AIMD]

// Controller guards one upstream with any limiter. The exported fields are set before
// use. It is not safe for concurrent use.
//
// Invariants: no more requests hold a slot than the limit allowed when the last
// one started, nor more than Slots; each request that arrives gets exactly one
// action, unless it is cancelled first; a cancelled request is never started.
type Controller[L Limiter] struct {
	// Slots is the number of requests that the upstream runs at the same time.
	Slots int
	// Limiter is the policy that bounds the running requests within the slots.
	Limiter L
	// MaxQueue bounds the waiting requests. Zero means DefaultQueue.
	MaxQueue int
	// MaxStreams bounds the open streams, whose headers have come. Zero means
	// DefaultStreams.
	MaxStreams int
	// MaxWait is the longest time that a request waits. Zero means DefaultMaxWait.
	MaxWait time.Duration
	// Ramp is the time over which a cold upstream gets its full load. Zero means
	// DefaultRamp.
	Ramp time.Duration
	// Rand is the random source of the spread of retry times.
	Rand *rand.Rand
	// Selector chooses among peers. Nil means that nothing is relayed.
	Selector *gdselector.Selector

	ready    bool
	mode     Mode
	healthy  bool
	last     time.Time
	lastGood time.Time
	waiting  queue[job]
	running  []job
	streams  map[uint64]struct{}
	service  average
	demand   demand
	actions  []Action
}

// Arrive decides on a request, or lets it wait. The actions may also concern
// waiting requests that give way to it.
func (c *Controller[L]) Arrive(now time.Time, r Request) []Action {
	c.enter(now)
	j := job{Request: r, startBy: lastStart(now, r, c.maxWait())}
	if reason, ok := c.closed(now, j); ok {
		c.giveUp(now, j, reason)
		return c.leave(now)
	}
	c.demand.add(now, r.priority)
	if c.waiting.len() >= c.queueBound() && !c.startsAtOnce(now) && !c.evictFor(now, j) {
		c.giveUp(now, j, ReasonQueueFull)
		return c.leave(now)
	}
	c.waiting.push(j)
	return c.leave(now)
}

// closed reports why no request of this kind is taken at present.
func (c *Controller[L]) closed(now time.Time, j job) (Reason, bool) {
	switch {
	case j.expired(now):
		return ReasonExpired, true
	case c.mode == ModeLeaving:
		return ReasonLeaving, true
	case c.mode == ModeStopping:
		return ReasonStopping, true
	case c.mode == ModeOut:
		return ReasonDomainOut, true
	case j.Stream() && len(c.streams) >= c.streamBound():
		return ReasonStreamLimit, true
	}
	return 0, false
}

// startsAtOnce reports whether a slot is free and nothing waits for it.
func (c *Controller[L]) startsAtOnce(now time.Time) bool {
	return c.waiting.len() == 0 && len(c.running) < c.limit(now)
}

// evictFor makes room for a more urgent request and reports whether it could.
func (c *Controller[L]) evictFor(now time.Time, j job) bool {
	if c.waiting.len() == 0 || !j.before(c.waiting.last()) {
		return false
	}
	c.giveUp(now, c.waiting.remove(c.waiting.len()-1), ReasonEvicted)
	return true
}

// ObserveHeader notes that the response header of a started request has come, which
// gives its latency before its end. A stream gives its slot back and counts as
// an open stream until Finish. The call may be left out for other requests.
func (c *Controller[L]) ObserveHeader(now time.Time, id uint64) []Action {
	c.enter(now)
	i := c.find(id)
	if i < 0 {
		return c.leave(now)
	}
	j := &c.running[i]
	c.observe(now, *j, NewOutcome(OutcomeOK, now.Sub(j.started), true))
	j.answered = true
	if j.Stream() {
		c.service.add(now.Sub(j.started), serviceShare)
		c.streams[id] = struct{}{}
		c.free(i)
	}
	return c.leave(now)
}

// Finish notes the end of a started request, also of one that was cancelled.
func (c *Controller[L]) Finish(now time.Time, id uint64, o Outcome) []Action {
	c.enter(now)
	delete(c.streams, id)
	if i := c.find(id); i >= 0 {
		j := c.free(i)
		c.occupied(now, j, o)
		c.observe(now, j, o)
	}
	return c.leave(now)
}

// Cancel notes that the caller gave a request up. A waiting request is forgotten
// and gets no action. A running one keeps its slot until Finish, because the
// upstream may still work on it.
func (c *Controller[L]) Cancel(now time.Time, id uint64) []Action {
	c.enter(now)
	for i, j := range c.waiting.items {
		if j.id == id {
			c.waiting.remove(i)
			break
		}
	}
	return c.leave(now)
}

// Tick decides again because time has passed. It is called at NextTick, which
// each event moves.
func (c *Controller[L]) Tick(now time.Time) []Action {
	c.enter(now)
	return c.leave(now)
}

// Load returns the load to tell the peers at now.
func (c *Controller[L]) Load(now time.Time) Load {
	c.prepare(now)
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

// AcceptsFlow reports whether a new flow should stay here. Otherwise it should be
// passed to a peer by [gdselector.Selector.Move], and stay when there is none.
func (c *Controller[L]) AcceptsFlow(now time.Time) bool {
	return len(c.streams) < c.streamBound() && c.Load(now).AcceptsMove()
}

// OpenStreams returns the number of open streams.
func (c *Controller[L]) OpenStreams() int { return len(c.streams) }

// PeerLoad notes the load that a peer reported.
func (c *Controller[L]) ObservePeerLoad(now time.Time, id gdconf.UpstreamID, l Load) {
	if c.Selector != nil {
		c.Selector.ObservePeerLoad(now, id, l)
	}
}

// ReleasePeerSlot notes that a request that was relayed to the peer no longer holds
// a slot there: its answer has begun, or it has failed.
func (c *Controller[L]) ReleasePeerSlot(id gdconf.UpstreamID) {
	if c.Selector != nil {
		c.Selector.ReleaseSlot(id)
	}
}

// SetSlots changes the upstream's slots. Running requests are not touched.
func (c *Controller[L]) SetSlots(now time.Time, slots int) []Action {
	c.enter(now)
	c.Slots = slots
	c.Limiter.Init(now, slots, c.ramp())
	return c.leave(now)
}

func (c *Controller[L]) find(id uint64) int {
	for i, j := range c.running {
		if j.id == id {
			return i
		}
	}
	return -1
}

// free gives back the slot of the running job at index i.
func (c *Controller[L]) free(i int) job {
	j := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	return j
}
