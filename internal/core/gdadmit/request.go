package gdadmit

import "time"

// Request is what the decision needs to know of one request.
type Request struct {
	id       uint64
	priority int
	deadline time.Time
	flags    flags
	hops     int
}

type flags uint8

const (
	flagRepeatable flags = 1 << iota
	flagEstablished
	flagStream
)

// Option states a property of a request.
type Option struct {
	flags flags
	hops  int
}

// Idempotent marks a request that may run more than once.
func Idempotent() Option { return Option{flags: flagRepeatable} }

// Established marks a request of a flow that this agent already holds.
func Established() Option { return Option{flags: flagEstablished} }

// Stream marks a request whose answer stays open, such as a live feed.
func Stream() Option { return Option{flags: flagStream} }

// Relayed states how often the request was relayed on its way here.
func Relayed(hops int) Option { return Option{hops: hops} }

// NewRequest returns a request. The identifier is unique among the requests that
// the core knows. Priority 1 is the most urgent. A zero deadline means none.
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

// Priority returns the request's priority; 1 goes first.
func (r Request) Priority() int { return r.priority }

// Deadline returns the time by which the caller needs the answer.
func (r Request) Deadline() time.Time { return r.deadline }

// Hops returns how often the request was relayed.
func (r Request) Hops() int { return r.hops }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return r.flags&flagRepeatable != 0 }

// Established reports whether this agent already held the request's flow.
func (r Request) Established() bool { return r.flags&flagEstablished != 0 }

// Stream reports whether the answer stays open.
func (r Request) Stream() bool { return r.flags&flagStream != 0 }

// expired reports whether the deadline has passed.
func (r Request) expired(now time.Time) bool {
	return !r.deadline.IsZero() && !now.Before(r.deadline)
}

// OutcomeKind says how a started request ended.
type OutcomeKind uint8

const (
	// OutcomeOK is an answer that does not speak against the upstream.
	OutcomeOK OutcomeKind = iota + 1
	// OutcomeFailed is an upstream error or a broken connection.
	OutcomeFailed
	// OutcomeShed is the upstream's own refusal, such as status 503.
	OutcomeShed
	// OutcomeTimeout is a deadline that passed before the answer came.
	OutcomeTimeout
	// OutcomeCancelled is a request that the caller gave up.
	OutcomeCancelled
)

// Outcome is the end of a started request.
type Outcome struct {
	kind    OutcomeKind
	latency time.Duration
	started bool
}

// NewOutcome returns an outcome. Latency is the time from the start to the
// response header; zero means that the core takes the time to the end. Started
// is false only when it is certain that the upstream did not run the request.
func NewOutcome(kind OutcomeKind, latency time.Duration, started bool) Outcome {
	return Outcome{kind: kind, latency: latency, started: started}
}

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Latency returns the time from the start to the response header.
func (o Outcome) Latency() time.Duration { return o.latency }

// MayHaveStarted reports whether the upstream may have run the request.
func (o Outcome) MayHaveStarted() bool { return o.started }
