package gdadmit

import "time"

const (
	// slowFactor is the multiple of the warm latency from which an answer looks
	// like that of a cold upstream.
	slowFactor = 4
	// coldFactor is the multiple of the warm latency from which the recent mean
	// looks like that of a cold upstream.
	coldFactor = 3
	// raisedFactor is the multiple of the warm latency from which the recent
	// mean speaks for too much load.
	raisedFactor = 2
	// recentShare is the inverse of the newest latency's weight in the recent
	// mean, so that a few answers of a cold upstream show.
	recentShare = 4
	// collapseAfter is the number of bad outcomes in a row after which the
	// upstream counts as cold.
	collapseAfter = 3
	// growAfter is the number of good outcomes, for each request of the limit,
	// that come before the limit grows by one.
	growAfter = 4
	// minPause and maxPause bound the time without any request that an upstream
	// gets which fails or sheds even a single one.
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
	// idleAfter is the time without an outcome after which the upstream has to
	// show again that it is warm.
	idleAfter = 10 * time.Second
)

// verdict is what one sample says of the upstream.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGood
	verdictRaised
	verdictBad
	verdictCold
)

// slowStart is shared by the limiters that watch outcomes. It keeps the limit,
// starts it from one, lets it grow by steps and recognises a cold upstream.
//
// Invariants: 1 <= limit <= slots. While hold is above 0 the upstream counts as
// cold, and two steps, or a shed answer and a step, are at least hold apart.
type slowStart struct {
	slots  int
	ramp   time.Duration
	limit  float64
	base   baseline
	recent average
	good   int
	bad    int
	hold   time.Duration
	since  time.Time
	seen   time.Time
	pause  time.Duration
	resume time.Time
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
	case now.Before(s.resume):
		return 0
	case s.idle(now):
		return 1
	}
	return int(s.limit)
}

func (s *slowStart) idle(now time.Time) bool { return now.Sub(s.seen) > idleAfter }

// Resume implements [Limiter].
func (s *slowStart) PausedUntil() time.Time { return s.resume }

// SlowAfter implements [Limiter].
func (s *slowStart) SlowThreshold() time.Duration {
	if !s.base.known {
		return 0
	}
	return slowFactor * s.base.mean
}

// Restart implements [Limiter]. The warm latency stays known.
func (s *slowStart) Restart(now time.Time) {
	s.limit = 1
	s.distrust(now)
	s.good, s.bad = 0, 0
	s.recent = average{}
}

// distrust lets the limit grow only in the steps of a cold upstream, from now.
func (s *slowStart) distrust(now time.Time) {
	s.hold = s.ramp / time.Duration(max(s.slots-1, 1))
	s.since = now
}

// judge says what the sample means and keeps count. It restarts the slow start
// when the upstream looks cold.
func (s *slowStart) judge(now time.Time, x Sample) verdict {
	if x.kind == OutcomeCancelled {
		return verdictNone
	}
	if s.idle(now) && !s.isWarm(x) {
		s.limit = 1
		s.good = 0
	}
	s.seen = now
	switch x.kind {
	case OutcomeOK:
		return s.judgeLatency(now, x.latency)
	case OutcomeTimeout:
		if x.latency < s.SlowThreshold() {
			// The caller had less time than a warm upstream may need.
			return verdictNone
		}
	}
	return s.countBad(now, x.kind)
}

// isWarm reports whether one sample alone shows a warm upstream.
func (s *slowStart) isWarm(x Sample) bool {
	return x.kind == OutcomeOK && s.base.known && x.latency < raisedFactor*s.base.mean
}

func (s *slowStart) judgeLatency(now time.Time, latency time.Duration) verdict {
	s.pause = 0
	rise := time.Duration(warmRise)
	if s.hold > 0 {
		rise = coldRise
	}
	s.base.add(now, latency, rise)
	s.recent.add(latency, recentShare)
	slow := s.SlowThreshold()
	switch {
	case slow == 0:
	case s.recent.value > coldFactor*s.base.mean:
		s.Restart(now)
		return verdictCold
	case latency >= slow:
		return s.countBad(now, OutcomeOK)
	case s.recent.value > raisedFactor*s.base.mean:
		s.bad = 0
		return verdictRaised
	}
	s.bad = 0
	return verdictGood
}

// countBad counts bad outcomes in a row. A single failed or slow answer may be
// chance; a shed answer or a timeout says by itself that the upstream bears less
// than its slots.
func (s *slowStart) countBad(now time.Time, kind OutcomeKind) verdict {
	certain := kind == OutcomeShed || kind == OutcomeTimeout
	s.good = 0
	s.bad++
	switch {
	case s.bad >= collapseAfter:
		if s.limit == 1 && kind != OutcomeOK {
			s.rest(now)
		}
		s.Restart(now)
		return verdictCold
	case certain || s.bad > 1:
		// The limit is lowered on this verdict, and must not come back at once.
		s.distrust(now)
		return verdictBad
	}
	return verdictNone
}

// rest gives the upstream a pause that doubles with each failure in a row.
func (s *slowStart) rest(now time.Time) {
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.resume = now.Add(s.pause)
}

// step counts a good outcome and reports whether the limit may grow by one.
func (s *slowStart) step(now time.Time, x Sample) bool {
	if !x.saturated || s.limit >= float64(s.slots) {
		return false
	}
	s.good++
	if s.good < growAfter*int(s.limit) || now.Sub(s.since) < s.hold {
		return false
	}
	s.good = 0
	s.since = now
	return true
}

// set bounds the limit. The upstream counts as warm once it has all its slots.
func (s *slowStart) set(limit float64) {
	s.limit = min(max(limit, 1), float64(s.slots))
	if s.limit == float64(s.slots) {
		s.hold = 0
	}
}
