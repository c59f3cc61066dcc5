package gdhostrig

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Kind is what an event is about.
type Kind string

// The kinds of events. What callers and upstreams see comes first, then what the
// operator does, then trouble.
const (
	// RequestSent: a caller sent the first packet of an attempt. Flow, ID, Op, Class, Host
	// (the entry host) and Version (that which has the route) are set.
	RequestSent Kind = "asked"
	// FlowAccepted: an upstream accepted the opening of a flow.
	FlowAccepted Kind = "took"
	// FlowOpened: the caller's confirmation reached the upstream.
	FlowOpened Kind = "opened"
	// PacketDelivered and Wrong: a packet of an open flow reached its upstream, or another one.
	PacketDelivered Kind = "own"
	PacketMisrouted Kind = "wrong"
	// RequestStarted: an upstream began to work on the request ID.
	RequestStarted Kind = "ran"
	// AnswerReceived: the caller has the whole answer to ID. Whole is false if it is not the
	// upstream's answer to this request.
	AnswerReceived Kind = "answered"
	// OpenFailed: an attempt ended before its flow was open.
	OpenFailed Kind = "unopened"
	// NotRun: the upstream said that it has not run the request.
	NotRun Kind = "not-run"
	// AttemptFailed: an attempt ended without an answer after its flow was open.
	AttemptFailed Kind = "failed"
	// FlowReset: the caller of an open flow got a reset from Host. Signed is set if the
	// upstream sent it, and Via is set.
	FlowReset Kind = "cut"
	// PacketAltered: a packet came that its sender did not write so.
	PacketAltered Kind = "altered"
	// FlowClosed: the flow ended at its upstream, or its upstream ended.
	FlowClosed Kind = "closed"
	// OperationDone: the operation ended; Whole says whether with success, Within whether in time.
	OperationDone Kind = "done"

	// Draining: the store has the upstream's word that it drains.
	Draining Kind = "draining"
	// Registered: the store has the upstream; Cold says until when it is cold.
	Registered Kind = "registered"
	// UpstreamStopped: the upstream has ended.
	UpstreamStopped Kind = "left"
	// DomainOut and DomainBack: the store has the operator's order.
	DomainOut  Kind = "domain-out"
	DomainBack Kind = "domain-back"
	// Configured: the store has the configuration Version.
	Configured Kind = "configured"

	// PlannedWork work on Host, Trouble at Host, and its end; Text says what it is. An
	// empty host is the store.
	PlannedWork  Kind = "planned"
	FaultStarted Kind = "trouble"
	FaultEnded   Kind = "calm"
	// ProcessExited: a process ended that nobody ended.
	ProcessExited Kind = "exited"
)

// Event is what happened.
type Event struct {
	At        time.Time  `json:"at"`
	Kind      Kind       `json:"kind"`
	Host      string     `json:"host,omitempty"`
	Via       string     `json:"via,omitempty"` // the entry host of the flow's packets now
	Upstream  string     `json:"upstream,omitempty"`
	Service   string     `json:"service,omitempty"`
	Domain    string     `json:"domain,omitempty"`
	Flow      gdflow.Key `json:"-"`
	ID        string     `json:"id,omitempty"`
	Op        string     `json:"op,omitempty"`
	Class     string     `json:"class,omitempty"`
	Route     string     `json:"route,omitempty"`
	Text      string     `json:"text,omitempty"`
	Version   uint64     `json:"version,omitempty"`
	ColdUntil time.Time  `json:"cold,omitzero"`
	OK        bool       `json:"whole,omitempty"`
	InTime    bool       `json:"within,omitempty"`
	Signed    bool       `json:"signed,omitempty"`
}

// Observer is told what happens, in order.
type Observer interface {
	Observe(ev Event)
}
