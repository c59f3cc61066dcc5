package gdadmit

import "time"

// Limiter decides how many requests may run at the same time. A limiter serves
// one core.
type Limiter interface {
	// Init sets the upstream's slots and the time over which a cold upstream
	// gets its full load. The core calls it before anything else and again when
	// the slots change.
	Init(now time.Time, slots int, ramp time.Duration)
	// Limit returns the number of requests that may run at now. It is 0 only
	// while the upstream is given a pause.
	Limit(now time.Time) int
	// PausedUntil returns the end of the last pause.
	PausedUntil() time.Time
	// SlowThreshold returns the latency from which an answer looks like that of a
	// cold upstream, or 0 when this is not known.
	SlowThreshold() time.Duration
	// Observe takes in one outcome.
	Observe(now time.Time, s Sample)
	// Restart begins a slow start from one.
	Restart(now time.Time)
}

// Sample is the outcome of one request as a limiter sees it.
type Sample struct {
	kind      OutcomeKind
	latency   time.Duration
	saturated bool
}

// NewSample returns a sample. Saturated says that the limit was reached when the
// request started.
func NewSample(kind OutcomeKind, latency time.Duration, saturated bool) Sample {
	return Sample{kind: kind, latency: latency, saturated: saturated}
}

// Fixed always allows all slots.
type Fixed struct {
	slots int
}

// Init implements [Limiter].
func (f *Fixed) Init(_ time.Time, slots int, _ time.Duration) { f.slots = slots }

// Limit implements [Limiter].
func (f *Fixed) Limit(time.Time) int { return f.slots }

// Resume implements [Limiter].
func (*Fixed) PausedUntil() time.Time { return time.Time{} }

// SlowAfter implements [Limiter].
func (*Fixed) SlowThreshold() time.Duration { return 0 }

// Observe implements [Limiter].
func (*Fixed) Observe(time.Time, Sample) {}

// Restart implements [Limiter].
func (*Fixed) Restart(time.Time) {}
