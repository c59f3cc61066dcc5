package gdadmit

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Kind says what an action does with a request.
type Kind uint8

const (
	// KindStart sends the request to the upstream.
	KindStart Kind = iota + 1
	// KindRefuse responds to the caller without involving an upstream.
	KindRefuse
	// KindRelay relays the request to a peer.
	KindRelay
)

func (k Kind) String() string {
	switch k {
	case KindStart:
		return "start"
	case KindRefuse:
		return "refuse"
	case KindRelay:
		return "relay"
	}
	return "unknown"
}

// Reason says why a request was refused or relayed.
type Reason uint8

const (
	// ReasonExpired means that the deadline had passed before a decision.
	ReasonExpired Reason = iota + 1
	// ReasonDeadline means that the request would start too late for its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the queue is full and holds no less urgent request.
	ReasonQueueFull
	// ReasonEvicted means that a more urgent request replaced this one in the queue.
	ReasonEvicted
	// ReasonStreamLimit means that the upstream has the maximum of open streams.
	ReasonStreamLimit
	// ReasonLeaving means that the upstream is leaving and gets no new work.
	ReasonLeaving
	// ReasonStopping means that the agent is shutting down.
	ReasonStopping
	// ReasonDomainOut means that the upstream's failure domain is out of service.
	ReasonDomainOut
	// ReasonRetry means that the upstream did not serve the started request.
	ReasonRetry
	// ReasonUncertain means that the request may have run and must not be repeated.
	ReasonUncertain
)

// reasonNames contains the names used in dumps and decision records.
var reasonNames = [...]string{
	ReasonExpired:     "expired",
	ReasonDeadline:    "deadline",
	ReasonQueueFull:   "queue-full",
	ReasonEvicted:     "evicted",
	ReasonStreamLimit: "streams",
	ReasonLeaving:     "leaving",
	ReasonStopping:    "stopping",
	ReasonDomainOut:   "out",
	ReasonRetry:       "retry",
	ReasonUncertain:   "uncertain",
}

func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Action is a decision on one request.
type Action struct {
	kind       Kind
	reason     Reason
	id         uint64
	peer       gdconf.UpstreamID
	retryAfter time.Duration
	started    bool
}

// Kind returns what to do with the request.
func (a Action) Kind() Kind { return a.kind }

// ID returns the request's identifier.
func (a Action) ID() uint64 { return a.id }

// Reason returns why the request is refused or relayed.
func (a Action) Reason() Reason { return a.reason }

// Peer returns the upstream to whose agent the request is relayed.
func (a Action) Peer() gdconf.UpstreamID { return a.peer }

// RetryAfter returns, for a refusal, the time after which the caller should retry.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// NotRun reports whether it is certain that the request did not run. Only a
// refusal by [DefaultController.Retry] can lack this certainty.
func (a Action) NotRun() bool { return a.kind != KindStart && !a.started }
