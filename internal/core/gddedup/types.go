package gddedup

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Request is the arrival of a request that may not be repeated.
type Request struct {
	// ID identifies this attempt at this agent.
	ID uint64
	// Service is the service to which the request was sent.
	Service gdconf.ServiceID
	// Key is the Idempotency-Key header.
	Key string
	// Digest is a hash of method, path and body. Attempts with the same key and
	// another digest are refused.
	Digest uint64
	// Relayed is set when a peer passed the request on; it is not relayed again.
	Relayed bool
}

// StoredResponse is an answer that is kept for later attempts.
type StoredResponse struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Headers is the subset of the answer's headers that is kept.
	Headers []Header `cbor:"2,keyasint,omitempty"`
	// Body is the whole body, or empty when Omitted is set.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// BodyOmitted is set when the body was too large to keep. The run is done all
	// the same.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// Header is one header of a stored answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Result says how a run ended.
type Result uint8

const (
	// ResultUnknown is a run that may have happened, or in part.
	ResultUnknown Result = iota
	// ResultDone is a run with its whole answer.
	ResultDone
	// ResultNotRun is a run that certainly did not happen.
	ResultNotRun
)

// Outcome is how a run ended.
type Outcome struct {
	Result Result
	// Response is the answer to keep, with ResultDone.
	Response StoredResponse
	// RetryAfter is the time after which to come back, with ResultNotRun.
	RetryAfter time.Duration
}

// Query asks an agent to grant a stamped key to the asking process.
type Query struct {
	Service     gdconf.ServiceID  `cbor:"1,keyasint"`
	Key         [identBytes]byte  `cbor:"2,keyasint"`
	Digest      uint64            `cbor:"3,keyasint"`
	Claimant    gdconf.UpstreamID `cbor:"4,keyasint"`
	Incarnation uint32            `cbor:"5,keyasint"`
	// Lookup asks about an issued key; it is never granted.
	Lookup bool `cbor:"6,keyasint,omitempty"`
	// Round numbers the claims of the asking process.
	Round uint32 `cbor:"7,keyasint"`
}

// Verdict is the kind of an answer to a question.
type Verdict uint8

const (
	// PeerFailed is set by the asking side when no answer came.
	PeerFailed Verdict = iota
	// Granted says that the key belongs to the asking process and to no other.
	Granted
	// Taken says that the key was granted to another process.
	Taken
	// Running says that the key is being run.
	Running
	// Done says that the key was run, and carries the answer.
	Done
	// Closed says that the key was refused before a run and is never run.
	Closed
	// OutcomeUnknown says that the key may have been run, with an unknown outcome.
	OutcomeUnknown
	// Mismatch says that the key belongs to a request with another digest.
	Mismatch
	// Refused says that the agent can't tell whether the key was granted before,
	// or has no room to record it.
	Refused
)

// Reply is an agent's answer to a question.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Response is the kept answer, with Done.
	Response StoredResponse `cbor:"2,keyasint,omitempty"`
	// MemberSets are the member sets that the answering agent knows for the service.
	MemberSets []MemberSet `cbor:"3,keyasint,omitempty"`
}

// Reason says why a request was not run or why its outcome is unknown.
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
	// ReasonRefused means that the run was refused before it began.
	ReasonRefused Reason = "refused"
	// ReasonHomeRestarted means that the issuing process is gone.
	ReasonHomeRestarted Reason = "home-restarted"
	// ReasonHomeGone means that the issuing agent is no longer reachable.
	ReasonHomeGone Reason = "home-gone"
	// ReasonInProgress means that the run is in progress at another agent, or
	// that too many attempts wait for it already.
	ReasonInProgress Reason = "in-progress"
	// ReasonNoQuorum means that too few agents granted the key.
	ReasonNoQuorum Reason = "no-quorum"
	// ReasonRunUnknown means that the run's own outcome is unknown.
	ReasonRunUnknown Reason = "run-unknown"
)

// Action is what the agent does next.
type Action interface{ RequestID() uint64 }

// Subject names the request that an action is about.
type Subject struct{ ID uint64 }

// RequestID returns the identifier given with the request's arrival.
func (s Subject) RequestID() uint64 { return s.ID }

// Run runs the request. Started and Finished follow.
type Run struct{ Subject }

// Relay passes the request to its home. Relayed follows.
type Relay struct {
	Subject
	Home gdconf.UpstreamID
}

// SendQuery sends a question to a peer. Answered follows. A peer that has left the
// configuration in force is asked at its last known address.
type SendQuery struct {
	Subject
	Peer  gdconf.UpstreamID
	Query Query
}

// SendRelease gives back the grant of a claim that failed, without an answer. The
// peer hands the question to Released.
type SendRelease struct {
	Subject
	Peer  gdconf.UpstreamID
	Query Query
}

// SendNotice sends a notice to a peer, without an answer.
type SendNotice struct {
	Subject
	Peer   gdconf.UpstreamID
	Notice Notice
}

// Wait leaves the request open; a later event brings its answer.
type Wait struct{ Subject }

// RespondDone answers with the result of the one run.
type RespondDone struct {
	Subject
	Response StoredResponse
}

// RespondNotRun refuses the request. Its key has not been run and never will be,
// also when an earlier attempt arrives late.
type RespondNotRun struct {
	Subject
	Reason     Reason
	RetryAfter time.Duration
	// NextKey is an issued key for the caller's next attempt.
	NextKey Key
}

// RespondUnknown says that the key may or may not have been run. The caller may
// send the same key again; a request under another key could run it twice.
type RespondUnknown struct {
	Subject
	Reason Reason
}

// RespondConflict refuses a request whose key belongs to another request.
type RespondConflict struct{ Subject }
