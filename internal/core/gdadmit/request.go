package gdadmit

import "time"

// Request holds the properties of a request that decisions depend on.
type Request struct {
	id       uint64
	priority int
	deadline time.Time
	flags    flags
	hops     int
}

type flags uint8

const (
	flagIdempotent flags = 1 << iota
	flagEstablished
	flagStream
)

// Option sets an optional property of a request.
type Option struct {
	flags flags
	hops  int
}

// Idempotent marks a request that may run more than once.
func Idempotent() Option { return Option{flags: flagIdempotent} }

// Established marks a request of a flow that this agent already holds.
func Established() Option { return Option{flags: flagEstablished} }

// Stream marks a request whose response stays open, such as a live feed.
func Stream() Option { return Option{flags: flagStream} }

// Relayed sets how often the request was relayed before it arrived here.
func Relayed(hops int) Option { return Option{hops: hops} }

// NewRequest returns a request. The identifier must be unique among the waiting and
// running requests and open streams of the controller. Priority 1 is the most urgent.
// A zero deadline means none.
func NewRequest(id uint64, priority int, deadline time.Time, opts ...Option) Request {
	r := Request{id: id, priority: priority, deadline: deadline}
	for _, o := range opts {
		r.flags |= o.flags
		r.hops += o.hops
	}
	return r
}

// ID returns the request's identifier.
func (r Request) ID() uint64 { return r.id }

// Priority returns the request's priority; 1 is the most urgent.
func (r Request) Priority() int { return r.priority }

// Deadline returns the time by which the caller needs the response.
func (r Request) Deadline() time.Time { return r.deadline }

// Hops returns how often the request was relayed.
func (r Request) Hops() int { return r.hops }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.flags&flagIdempotent != 0 }

// Established reports whether this agent already held the request's flow.
func (r Request) Established() bool { return r.flags&flagEstablished != 0 }

// Stream reports whether the response stays open.
func (r Request) Stream() bool { return r.flags&flagStream != 0 }

// expired reports whether the deadline has passed.
func (r Request) expired(now time.Time) bool {
	return !r.deadline.IsZero() && !now.Before(r.deadline)
}

// OutcomeKind says how a started request ended.
type OutcomeKind uint8

const (
	// OutcomeOK is a response that does not indicate a problem of the upstream.
	OutcomeOK OutcomeKind = iota + 1
	// OutcomeFailed is an upstream error or a broken connection.
	OutcomeFailed
	// OutcomeShed is the upstream's own refusal, such as status 503.
	OutcomeShed
	// OutcomeTimeout is a deadline that passed before the response arrived.
	OutcomeTimeout
	// OutcomeCancelled is a request that the caller cancelled.
	OutcomeCancelled
)

// Outcome says how a started request ended, and its latency.
type Outcome struct {
	kind    OutcomeKind
	latency time.Duration
	started bool
}

// NewOutcome returns an outcome. The latency is the time from the start to the response
// header; if it is zero, the controller uses the time to the end. Started is false
// only if it is certain that the upstream did not run the request.
func NewOutcome(kind OutcomeKind, latency time.Duration, started bool) Outcome {
	return Outcome{kind: kind, latency: latency, started: started}
}

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Latency returns the time from the start to the response header.
func (o Outcome) Latency() time.Duration { return o.latency }

// MayHaveStarted reports whether the upstream may have run the request.
func (o Outcome) MayHaveStarted() bool { return o.started }
