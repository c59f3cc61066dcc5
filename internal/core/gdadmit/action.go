package gdadmit

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Kind is the kind of an action.
type Kind uint8

const (
	// KindStart sends the request to the upstream.
	KindStart Kind = iota + 1
	// KindRefuse answers the caller without an upstream's answer.
	KindRefuse
	// KindRelay passes the request on to a peer.
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
	// ReasonExpired is a deadline that had passed before a decision.
	ReasonExpired Reason = iota + 1
	// ReasonDeadline is a start that would come too late for the deadline.
	ReasonDeadline
	// ReasonQueueFull is a full queue without a less urgent request.
	ReasonQueueFull
	// ReasonEvicted is a waiting request that gave way to a more urgent one.
	ReasonEvicted
	// ReasonStreamLimit is an upstream that holds all the streams that it may.
	ReasonStreamLimit
	// ReasonLeaving is an upstream that gets no new work.
	ReasonLeaving
	// ReasonStopping is an agent that shuts down.
	ReasonStopping
	// ReasonDomainOut is an upstream in a failure domain that is out.
	ReasonDomainOut
	// ReasonRetry is a started request that the upstream did not serve.
	ReasonRetry
	// ReasonUncertain is a request that may have run and may not be repeated.
	ReasonUncertain
)

// reasonNames are the names in dumps and decision records.
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

// Action is one decision on one request.
type Action struct {
	kind       Kind
	reason     Reason
	id         uint64
	peer       gdconf.UpstreamID
	retryAfter time.Duration
	started    bool
}

// Kind returns what to do.
func (a Action) Kind() Kind { return a.kind }

// ID returns the request's identifier.
func (a Action) ID() uint64 { return a.id }

// Reason returns why the request is refused or relayed.
func (a Action) Reason() Reason { return a.reason }

// Peer returns the upstream to whose agent the request is relayed.
func (a Action) Peer() gdconf.UpstreamID { return a.peer }

// RetryAfter returns, for a refusal, the time after which to come back.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// NotRun reports whether it is certain that the request did not run. Only a
// refusal by [DefaultController.Retry] can lack this certainty.
func (a Action) NotRun() bool { return a.kind != KindStart && !a.started }
