package gddedup

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Request is a request that must not run more than once.
type Request struct {
	// ID identifies this attempt at this agent.
	ID uint64
	// Service is the service to which the request was sent.
	Service gdconf.ServiceID
	// Key is the Idempotency-Key header.
	Key string
	// Digest is a hash of method, path and body. An attempt with the same key and
	// a different digest is refused.
	Digest uint64
	// Relayed is set if a peer relayed the request; it is not relayed again.
	Relayed bool
}

// StoredResponse is a response that is stored for later attempts.
type StoredResponse struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Headers are the stored headers, a subset of those of the response.
	Headers []Header `cbor:"2,keyasint,omitempty"`
	// Body is the whole body, or empty if BodyOmitted is set.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// BodyOmitted is set if the body was too large to store. The request counts as
	// done all the same.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// Header is one header of a stored response.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Result is the kind of an Outcome.
type Result uint8

const (
	// ResultUnknown means that the request may have run, completely or in part.
	ResultUnknown Result = iota
	// ResultDone means that the request ran and its whole response was received.
	ResultDone
	// ResultNotRun means that the request certainly did not run.
	ResultNotRun
)

// Outcome is the result of a run.
type Outcome struct {
	Result Result
	// Response is the response to store, with ResultDone.
	Response StoredResponse
	// RetryAfter is the delay before the caller's next attempt, with ResultNotRun.
	RetryAfter time.Duration
}

// Query requests that an agent grant a stamped key to the querying process.
type Query struct {
	Service     gdconf.ServiceID  `cbor:"1,keyasint"`
	Key         [identBytes]byte  `cbor:"2,keyasint"`
	Digest      uint64            `cbor:"3,keyasint"`
	Claimant    gdconf.UpstreamID `cbor:"4,keyasint"`
	Incarnation uint32            `cbor:"5,keyasint"`
	// Lookup marks a query about an issued key, which is never granted.
	Lookup bool `cbor:"6,keyasint,omitempty"`
	// Round numbers the claims of the querying process.
	Round uint32 `cbor:"7,keyasint"`
}

// Verdict is the kind of a reply to a query.
type Verdict uint8

const (
	// PeerFailed is set by the querying side if no reply arrived.
	PeerFailed Verdict = iota
	// Granted means that the key belongs to the querying process and to no other.
	Granted
	// Taken means that the key was granted to another process.
	Taken
	// Running means that the request is running.
	Running
	// Done means that the request ran; the reply carries its response.
	Done
	// Closed means that the key was refused before a run and will never run.
	Closed
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Mismatch means that the key belongs to a request with another digest.
	Mismatch
	// Refused means that the agent can't determine whether the key was granted
	// before, or has no room to record the grant.
	Refused
)

// Reply is an agent's reply to a query.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Response is the stored response, with Done.
	Response StoredResponse `cbor:"2,keyasint,omitempty"`
	// MemberSets are the member sets of the service that the replying agent knows.
	MemberSets []MemberSet `cbor:"3,keyasint,omitempty"`
}

// Reason explains why a request did not run or why its outcome is unknown.
type Reason string

const (
	// ReasonKeyKind means that the key is of a kind that no agent runs.
	ReasonKeyKind Reason = "key-kind"
	// ReasonKeyForged means that the key is malformed or its signature is wrong.
	ReasonKeyForged Reason = "key-forged"
	// ReasonWrongService means that the request belongs to another service.
	ReasonWrongService Reason = "wrong-service"
	// ReasonKeyExpired means that the key is older than the retention time.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyEarly means that the caller's clock is ahead.
	ReasonKeyEarly Reason = "key-early"
	// ReasonLedgerFull means that the agent has no room for another record.
	ReasonLedgerFull Reason = "ledger-full"
	// ReasonRefused means that the request was refused before it ran.
	ReasonRefused Reason = "refused"
	// ReasonHomeRestarted means that the process that issued the key is gone.
	ReasonHomeRestarted Reason = "home-restarted"
	// ReasonHomeGone means that the agent that issued the key is no longer
	// reachable.
	ReasonHomeGone Reason = "home-gone"
	// ReasonInProgress means that the request is running at another agent, or that
	// too many attempts are already waiting for it.
	ReasonInProgress Reason = "in-progress"
	// ReasonNoQuorum means that too few agents granted the key.
	ReasonNoQuorum Reason = "no-quorum"
	// ReasonRunUnknown means that the request started and its outcome is unknown.
	ReasonRunUnknown Reason = "run-unknown"
)

// Action is something that the core requests from its agent.
type Action interface{ RequestID() uint64 }

// Subject identifies the request that an action concerns.
type Subject struct{ ID uint64 }

// RequestID returns the identifier from the request's arrival.
func (s Subject) RequestID() uint64 { return s.ID }

// Run runs the request. The agent calls Started and then Finished.
type Run struct{ Subject }

// Relay relays the request to its home. The agent calls Relayed with the
// result.
type Relay struct {
	Subject
	Home gdconf.UpstreamID
}

// SendQuery sends a query to a peer. The agent calls ReplyReceived with the
// reply. A peer that is no longer in the active configuration is queried at its
// last known address.
type SendQuery struct {
	Subject
	Peer  gdconf.UpstreamID
	Query Query
}

// SendRelease releases the grant of a failed claim. No reply is expected. The
// peer passes the query to ReleaseReceived.
type SendRelease struct {
	Subject
	Peer  gdconf.UpstreamID
	Query Query
}

// SendNotice sends a notice to a peer. No reply is expected.
type SendNotice struct {
	Subject
	Peer   gdconf.UpstreamID
	Notice Notice
}

// Wait leaves the request open; a later event returns its response.
type Wait struct{ Subject }

// RespondDone responds with the result of the single run.
type RespondDone struct {
	Subject
	Response StoredResponse
}

// RespondNotRun refuses the request. Its key has not run and never will, even
// if an earlier attempt arrives late.
type RespondNotRun struct {
	Subject
	Reason     Reason
	RetryAfter time.Duration
	// NextKey is an issued key for the caller's next attempt.
	NextKey Key
}

// RespondUnknown reports that the request may or may not have run. The caller
// may send the same key again; a request with another key could run it twice.
type RespondUnknown struct {
	Subject
	Reason Reason
}

// RespondConflict refuses a request whose key belongs to another request.
type RespondConflict struct{ Subject }
