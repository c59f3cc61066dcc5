package gdadmit

import "time"

const (
	// slowFactor is the multiple of the warm latency from which a response looks
	// like that of a cold upstream.
	slowFactor = 4
	// coldFactor is the multiple of the warm latency from which the recent mean
	// looks like that of a cold upstream.
	coldFactor = 3
	// raisedFactor is the multiple of the warm latency from which the recent mean
	// indicates overload.
	raisedFactor = 2
	// recentInverseWeight is the inverse of the newest latency's weight in the recent
	// mean. It is small enough that a few responses of a cold upstream raise the mean.
	recentInverseWeight = 4
	// coldAfter is the number of consecutive bad outcomes after which the upstream
	// counts as cold.
	coldAfter = 3
	// goodPerSlot is the number of good outcomes, for each request of the limit, that
	// are needed before the limit grows by one.
	goodPerSlot = 4
	// minPause and maxPause bound the time without any start after the upstream fails
	// or sheds requests even at a limit of one.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// idleAfter is the time without an outcome after which the limit is one until a
	// response shows again that the upstream is warm.
	idleAfter = 10 * time.Second
)

// verdict is the classification of one sample.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGood
	verdictRaised
	verdictBad
	verdictCold
)

// slowStart is the common part of the limiters that observe outcomes. It holds the
// limit, starts it at one, lets it grow in steps and detects a cold upstream.
//
// Invariants: 1 <= limit <= slots. While growInterval is above 0 the upstream counts as
// cold, and two steps, or a shed response and a step, are at least growInterval apart.
type slowStart struct {
	slots        int
	ramp         time.Duration
	limit        float64
	baseline     baseline
	recent       average
	good         int
	bad          int
	growInterval time.Duration
	lastStep     time.Time
	lastSample   time.Time
	pause        time.Duration
	pausedUntil  time.Time
}

// Init implements [Limiter].
func (s *slowStart) Init(now time.Time, slots int, ramp time.Duration) {
	s.slots = slots
	s.ramp = ramp
	if s.limit == 0 {
		s.Restart(now)
	}
	s.limit = min(s.limit, float64(slots))
}

// Limit implements [Limiter].
func (s *slowStart) Limit(now time.Time) int {
	switch {
	case now.Before(s.pausedUntil):
		return 0
	case s.idle(now):
		return 1
	}
	return int(s.limit)
}

func (s *slowStart) idle(now time.Time) bool { return now.Sub(s.lastSample) > idleAfter }

// PausedUntil implements [Limiter].
func (s *slowStart) PausedUntil() time.Time { return s.pausedUntil }

// SlowThreshold implements [Limiter].
func (s *slowStart) SlowThreshold() time.Duration {
	if !s.baseline.known {
		return 0
	}
	return slowFactor * s.baseline.mean
}

// Restart implements [Limiter]. It keeps the warm latency.
func (s *slowStart) Restart(now time.Time) {
	s.limit = 1
	s.markCold(now)
	s.good, s.bad = 0, 0
	s.recent = average{}
}

// markCold limits the growth of the limit, from now on, to the steps of a cold
// upstream.
func (s *slowStart) markCold(now time.Time) {
	s.growInterval = s.ramp / time.Duration(max(s.slots-1, 1))
	s.lastStep = now
}

// classify returns the verdict on the sample and updates the counters. It restarts the
// slow start if the upstream looks cold.
func (s *slowStart) classify(now time.Time, x Sample) verdict {
	if x.kind == OutcomeCancelled {
		return verdictNone
	}
	if s.idle(now) && !s.isWarm(x) {
		s.limit = 1
		s.good = 0
	}
	s.lastSample = now
	switch x.kind {
	case OutcomeOK:
		return s.classifyLatency(now, x.latency)
	case OutcomeTimeout:
		if x.latency < s.SlowThreshold() {
			// The caller allowed less time than a warm upstream may need.
			return verdictNone
		}
	}
	return s.classifyBad(now, x.kind)
}

// isWarm reports whether one sample alone shows a warm upstream.
func (s *slowStart) isWarm(x Sample) bool {
	return x.kind == OutcomeOK && s.baseline.known && x.latency < raisedFactor*s.baseline.mean
}

func (s *slowStart) classifyLatency(now time.Time, latency time.Duration) verdict {
	s.pause = 0
	riseTime := time.Duration(warmRiseTime)
	if s.growInterval > 0 {
		riseTime = coldRiseTime
	}
	s.baseline.add(now, latency, riseTime)
	s.recent.add(latency, recentInverseWeight)
	slow := s.SlowThreshold()
	switch {
	case slow == 0:
	case s.recent.value > coldFactor*s.baseline.mean:
		s.Restart(now)
		return verdictCold
	case latency >= slow:
		return s.classifyBad(now, OutcomeOK)
	case s.recent.value > raisedFactor*s.baseline.mean:
		s.bad = 0
		return verdictRaised
	}
	s.bad = 0
	return verdictGood
}

// classifyBad counts consecutive bad outcomes. A single failed or slow response may be
// accidental; a single shed response or timeout shows that the upstream has capacity
// for fewer requests than its slots.
func (s *slowStart) classifyBad(now time.Time, kind OutcomeKind) verdict {
	conclusive := kind == OutcomeShed || kind == OutcomeTimeout
	s.good = 0
	s.bad++
	switch {
	case s.bad >= coldAfter:
		if s.limit == 1 && kind != OutcomeOK {
			s.pauseStarts(now)
		}
		s.Restart(now)
		return verdictCold
	case conclusive || s.bad > 1:
		// The limiter lowers the limit on this verdict; it must not recover at once.
		s.markCold(now)
		return verdictBad
	}
	return verdictNone
}

// pauseStarts pauses starts for a time that doubles with each consecutive failure.
func (s *slowStart) pauseStarts(now time.Time) {
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.pausedUntil = now.Add(s.pause)
}

// mayGrow counts a good outcome and reports whether the limit may grow by one.
func (s *slowStart) mayGrow(now time.Time, x Sample) bool {
	if !x.saturated || s.limit >= float64(s.slots) {
		return false
	}
	s.good++
	if s.good < goodPerSlot*int(s.limit) || now.Sub(s.lastStep) < s.growInterval {
		return false
	}
	s.good = 0
	s.lastStep = now
	return true
}

// setLimit sets the limit within its bounds. The upstream counts as warm once the
// limit reaches its slots.
func (s *slowStart) setLimit(limit float64) {
	s.limit = min(max(limit, 1), float64(s.slots))
	if s.limit == float64(s.slots) {
		s.growInterval = 0
	}
}
