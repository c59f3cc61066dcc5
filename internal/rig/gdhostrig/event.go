package gdhostrig

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events: what callers and upstreams observe, then the operator's work,
// then faults and process states.
const (
	// RequestSent: a caller sent the first packet of an attempt. Flow, ID, Op, Class,
	// Route, Host (the entry host) and Version (the current configuration) are set.
	RequestSent Kind = "asked"
	// FlowAccepted: an upstream accepted the opening of a flow.
	FlowAccepted Kind = "took"
	// FlowOpened: the caller's confirmation reached the upstream.
	FlowOpened Kind = "opened"
	// PacketDelivered and PacketMisrouted: a packet of an open flow reached the
	// upstream that holds the flow, or another one.
	PacketDelivered Kind = "own"
	PacketMisrouted Kind = "wrong"
	// RequestStarted: an upstream started to serve the request ID.
	RequestStarted Kind = "ran"
	// AnswerReceived: the caller received a complete answer to ID. OK is false if it is
	// not the upstream's answer to this request.
	AnswerReceived Kind = "answered"
	// OpenFailed: an attempt ended before its flow was open.
	OpenFailed Kind = "unopened"
	// NotRun: the upstream reported that it has not run the request.
	NotRun Kind = "not-run"
	// AttemptFailed: an attempt ended without an answer after its flow was open.
	AttemptFailed Kind = "failed"
	// FlowReset: the caller of an open flow received a reset from Host. Via is set, and
	// Signed if the upstream sent the reset.
	FlowReset Kind = "cut"
	// PacketAltered: a packet arrived that differs from what its sender can have sent.
	PacketAltered Kind = "altered"
	// FlowClosed: the flow was closed at its upstream.
	FlowClosed Kind = "closed"
	// OperationDone: the operation ended. OK reports success, and InTime success within
	// the latency objective.
	OperationDone Kind = "done"

	// Draining: the store has the registration that marks the upstream as draining.
	Draining Kind = "draining"
	// Registered: the store has the upstream, which is cold until ColdUntil.
	Registered Kind = "registered"
	// UpstreamStopped: the upstream has stopped.
	UpstreamStopped Kind = "left"
	// DomainOut and DomainBack: the store has the operator's order that takes a failure
	// domain out of service or puts it back in service.
	DomainOut  Kind = "domain-out"
	DomainBack Kind = "domain-back"
	// Configured: the store has the configuration Version.
	Configured Kind = "configured"

	// PlannedWork: the operator works on Host. FaultStarted and FaultEnded: a fault at
	// Host starts or ends. Text describes the work or the fault. An empty Host stands
	// for the store.
	PlannedWork  Kind = "planned"
	FaultStarted Kind = "trouble"
	FaultEnded   Kind = "calm"
	// ProcessExited: a process exited although the rig had not stopped it.
	ProcessExited Kind = "exited"
)

// Event is one observation. Its JSON form is a line of events.jsonl.
type Event struct {
	At        time.Time  `json:"at"`
	Kind      Kind       `json:"kind"`
	Host      string     `json:"host,omitempty"`
	Via       string     `json:"via,omitempty"` // the entry host that the flow's packets now go to
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

// Observer receives the events in order.
type Observer interface {
	Observe(ev Event)
}
