package gdwait

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// initialSlotTime is assumed until the first answer.
	initialSlotTime = 20 * time.Millisecond
	// minSlotTime is the least mean, so that it can grow again.
	minSlotTime = 100 * time.Microsecond
	// meanInverseWeight is the inverse of the newest value's weight in a mean.
	meanInverseWeight = 16
	// usualInverseWeight is that in the mean by which an unusual value is recognised.
	usualInverseWeight = 1024
	// maxOutlier limits a value to a multiple of the mean.
	maxOutlier = 4
	// kindTTL is how long the times of a kind of route are remembered without an answer.
	kindTTL = time.Minute
	// maxKinds limits the kinds of routes that are remembered.
	maxKinds = 256
)

// mean is an exponentially weighted mean. The first values have equal weights.
type mean struct {
	value time.Duration
	n     time.Duration
}

func (m *mean) add(d, expected, inverseWeight time.Duration) {
	if m.n < inverseWeight {
		m.n++
	}
	m.value = max(m.value+(min(d, maxOutlier*expected)-m.value)/m.n, minSlotTime)
}

// slotTimes are the times in a slot of a warm and of a cold upstream: of late, and usually.
type slotTimes struct {
	byState   [2]mean
	usual     [2]mean
	updatedAt time.Time
}

// expected returns the mean for the state, or that for the other state if there was no
// answer in this one.
func (s *slotTimes) expected(now time.Time, state int) (time.Duration, bool) {
	if s == nil || now.Sub(s.updatedAt) > kindTTL {
		return 0, false
	}
	if s.byState[state].n == 0 {
		state = 1 - state
	}
	return s.byState[state].value, s.byState[state].n > 0
}

// kinds has the times in a slot by kind of route, and those of all.
type kinds struct {
	m   map[gdflow.Address]*slotTimes
	all slotTimes
}

func (k *kinds) expected(now time.Time, kind gdflow.Address, state int) time.Duration {
	if d, ok := k.m[kind].expected(now, state); ok {
		return d
	}
	if d, ok := k.all.expected(now, state); ok {
		return d
	}
	return initialSlotTime
}

// isEarly reports whether an answer came much sooner than is usual for the kind, as far as that is
// known.
func (k *kinds) isEarly(now time.Time, kind gdflow.Address, state int, d time.Duration) bool {
	s := k.m[kind]
	return s != nil && now.Sub(s.updatedAt) <= kindTTL && s.usual[state].n >= meanInverseWeight && d < s.usual[state].value/earlyDivisor
}

func (k *kinds) add(now time.Time, kind gdflow.Address, state int, d time.Duration) {
	expected := k.expected(now, kind, state)
	s := k.m[kind]
	if s == nil || now.Sub(s.updatedAt) > kindTTL {
		if k.m == nil || len(k.m) >= maxKinds {
			k.m = make(map[gdflow.Address]*slotTimes)
		}
		s = &slotTimes{}
		k.m[kind] = s
	}
	s.byState[state].add(d, expected, meanInverseWeight)
	s.usual[state].add(d, expected, usualInverseWeight)
	k.all.byState[state].add(d, expected, meanInverseWeight)
	s.updatedAt, k.all.updatedAt = now, now
}
