package gdadmit

import "time"

// Limiter decides how many requests may run concurrently. Each controller needs a
// limiter of its own.
type Limiter interface {
	// Init sets the upstream's slots and the time over which a cold upstream gets
	// its full load. The controller calls it before any other method, and again when
	// the number of slots changes.
	Init(now time.Time, slots int, ramp time.Duration)
	// Limit returns the number of requests that may run at now. It is 0 only while
	// starts are paused.
	Limit(now time.Time) int
	// PausedUntil returns the end of the last pause.
	PausedUntil() time.Time
	// SlowThreshold returns the latency from which a response looks like that of a
	// cold upstream, or 0 if it is not known yet.
	SlowThreshold() time.Duration
	// Observe records one outcome.
	Observe(now time.Time, s Sample)
	// Restart begins a slow start with a limit of one.
	Restart(now time.Time)
}

// Sample is the part of a request's outcome that a limiter observes.
type Sample struct {
	kind      OutcomeKind
	latency   time.Duration
	saturated bool
}

// NewSample returns a sample. The argument saturated says whether the limit was
// reached when the request started.
func NewSample(kind OutcomeKind, latency time.Duration, saturated bool) Sample {
	return Sample{kind: kind, latency: latency, saturated: saturated}
}

// Fixed is a [Limiter] that always allows all slots.
type Fixed struct {
	slots int
}

// Init implements [Limiter].
func (f *Fixed) Init(_ time.Time, slots int, _ time.Duration) { f.slots = slots }

// Limit implements [Limiter].
func (f *Fixed) Limit(time.Time) int { return f.slots }

// PausedUntil implements [Limiter].
func (*Fixed) PausedUntil() time.Time { return time.Time{} }

// SlowThreshold implements [Limiter].
func (*Fixed) SlowThreshold() time.Duration { return 0 }

// Observe implements [Limiter].
func (*Fixed) Observe(time.Time, Sample) {}

// Restart implements [Limiter].
func (*Fixed) Restart(time.Time) {}
