package gddecide

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Kind is what was decided.
type Kind uint8

const (
	// Placed is the choice of an upstream for a flow's first packet.
	Placed Kind = iota + 1
	// Forwarded is a packet passed on to an agent after the first choice.
	Forwarded
	// Dropped is a packet that was not passed on.
	Dropped
	// Admitted is a request that was given to the upstream.
	Admitted
	// Queued is a request that waits for a slot.
	Queued
	// Relayed is a request that was passed to a peer.
	Relayed
	// Refused is a request that was not run.
	Refused
	// Finished is a request that got its answer.
	Finished
	// Unknown is a request whose outcome can't be told.
	Unknown
	// Closed is a flow that was closed.
	Closed
)

var kindNames = [...]string{
	Placed: "placed", Forwarded: "forwarded", Dropped: "dropped", Admitted: "admitted", Queued: "queued",
	Relayed: "relayed", Refused: "refused", Finished: "finished", Unknown: "unknown", Closed: "closed",
}

func (k Kind) String() string {
	if k == 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return kindNames[k]
}

// Reason is a short code in kebab case that says why.
type Reason string

// Subject is the flow, and within it the request, that a decision is about.
type Subject struct{ flow, request uint64 }

// Flow returns the subject of a decision about a whole flow.
func Flow(flow uint64) Subject { return Subject{flow: flow} }

// Request returns the subject of a decision about one request of a flow.
// Request identifiers start from 1.
func Request(flow, request uint64) Subject { return Subject{flow, request} }

func (s Subject) String() string {
	if s.request == 0 {
		return fmt.Sprintf("flow %016x", s.flow)
	}
	return fmt.Sprintf("flow %016x request %d", s.flow, s.request)
}

// Record is one decision.
type Record struct {
	time     int64 // Unix time in nanoseconds
	subject  Subject
	reason   Reason
	upstream gdconf.UpstreamID
	service  gdconf.ServiceID
	kind     Kind
}

// New returns the record of a decision.
func New(now time.Time, k Kind, s Subject) Record {
	return Record{time: now.UnixNano(), kind: k, subject: s}
}

// At returns the record with its service and its upstream, which is zero when
// none was chosen.
func (r Record) At(s gdconf.ServiceID, u gdconf.UpstreamID) Record {
	r.service, r.upstream = s, u
	return r
}

// Because returns the record with its reason.
func (r Record) Because(reason Reason) Record {
	r.reason = reason
	return r
}

// Time returns when the decision was made.
func (r Record) Time() time.Time { return time.Unix(0, r.time).UTC() }

// Kind returns what was decided.
func (r Record) Kind() Kind { return r.kind }

// Flow returns the identifier of the flow.
func (r Record) Flow() uint64 { return r.subject.flow }

// Request returns the identifier of the request, or zero for a whole flow.
func (r Record) Request() uint64 { return r.subject.request }

// Service returns the service.
func (r Record) Service() gdconf.ServiceID { return r.service }

// Upstream returns the upstream, or zero.
func (r Record) Upstream() gdconf.UpstreamID { return r.upstream }

// Reason returns why, or the empty string.
func (r Record) Reason() Reason { return r.reason }

// String returns the record as a line for a person.
func (r Record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, service %d", r.Time().Format("2006-01-02T15:04:05.000Z"), r.subject, r.kind, r.service)
	if r.upstream != 0 {
		fmt.Fprintf(&b, ", upstream %d", r.upstream)
	}
	if r.reason != "" {
		fmt.Fprintf(&b, ", because %s", r.reason)
	}
	return b.String()
}

// MarshalJSON writes the record with names in kebab case. The flow is written
// in hexadecimal, since a number of 64 bits is not exact in every JSON reader.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Time     time.Time         `json:"time"`
		Kind     string            `json:"kind"`
		Flow     string            `json:"flow"`
		Request  uint64            `json:"request,omitempty"`
		Service  gdconf.ServiceID  `json:"service"`
		Upstream gdconf.UpstreamID `json:"upstream,omitempty"`
		Reason   Reason            `json:"reason,omitempty"`
	}{r.Time(), r.kind.String(), fmt.Sprintf("%016x", r.subject.flow), r.subject.request, r.service, r.upstream, r.reason})
}
