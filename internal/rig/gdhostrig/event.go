package gdhostrig

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events: first what callers and upstreams observe, then the changes that the
// operator and the upstreams make, then planned work, faults and exits of processes.
const (
	// RequestSent: a caller started an attempt on a flow. Flow, ID, Op, Class, Route,
	// Service (all that the route has had, between spaces), Host (the entry host) and Version (of the current
	// configuration) are set.
	RequestSent Kind = "asked"
	// FlowAccepted: an upstream accepted a flow.
	FlowAccepted Kind = "took"
	// FlowOpened: the caller's first packet after the acceptance reached the upstream.
	FlowOpened Kind = "opened"
	// PacketDelivered and PacketMisrouted: a packet of an open flow reached the
	// upstream that holds the flow, or another one.
	PacketDelivered Kind = "own"
	PacketMisrouted Kind = "wrong"
	// RequestStarted: an upstream started to serve the request with the ID.
	RequestStarted Kind = "ran"
	// AnswerReceived: the caller received a complete answer on the flow of the request. OK
	// reports whether it is the upstream's answer to this request.
	AnswerReceived Kind = "answered"
	// OpenFailed: an attempt ended before its flow was open.
	OpenFailed Kind = "unopened"
	// NotRun: the caller received the upstream's answer that the request has not run.
	NotRun Kind = "not-run"
	// AttemptFailed: an attempt ended without an answer after its flow was open.
	AttemptFailed Kind = "failed"
	// FlowReset: the caller of an open flow received a reset from Host. Via is set. Signed
	// reports whether the upstream sent the reset.
	FlowReset Kind = "cut"
	// PacketAltered: a packet arrived that differs from what its sender can have sent.
	PacketAltered Kind = "altered"
	// FlowClosed: the flow was closed at its upstream.
	FlowClosed Kind = "closed"
	// OperationDone: the operation ended. OK reports success, and InTime success within
	// the latency objective.
	OperationDone Kind = "done"

	// Draining: the store received the registration that marks the upstream as draining.
	Draining Kind = "draining"
	// Registered: the store received the first registration of the upstream, which is cold
	// until ColdUntil.
	Registered Kind = "registered"
	// UpstreamStopped: the upstream has stopped, or could not be started again.
	UpstreamStopped Kind = "left"
	// DomainOut and DomainBack: the store received the operator's change that takes a
	// failure domain out of service or puts it back in service.
	DomainOut  Kind = "domain-out"
	DomainBack Kind = "domain-back"
	// Configured: the store received the configuration of the number Version. Text is the
	// names of its routes, each between spaces, and Services are those that each has had.
	Configured Kind = "configured"

	// PlannedWork: the operator does planned work on Host. FaultStarted and FaultEnded: a
	// fault at Host starts or ends. Text describes the work or the fault. An empty Host
	// denotes the store.
	PlannedWork  Kind = "planned"
	FaultStarted Kind = "trouble"
	FaultEnded   Kind = "calm"
	// RigError: the rig itself failed to do something, so that the run shows nothing.
	RigError Kind = "rig-error"
	// ProcessExited: a process exited although the rig had not stopped it, or could not be
	// started.
	ProcessExited Kind = "exited"
)

// Event is one observation. Its JSON form is a line of events.jsonl.
type Event struct {
	At        time.Time         `json:"at"`
	Kind      Kind              `json:"kind"`
	Host      string            `json:"host,omitempty"`
	Via       string            `json:"via,omitempty"` // the entry host to which the routers currently send the flow's packets
	Upstream  string            `json:"upstream,omitempty"`
	Service   string            `json:"service,omitempty"`
	Domain    string            `json:"domain,omitempty"`
	Flow      gdflow.Key        `json:"-"`
	ID        string            `json:"id,omitempty"`    // the attempt, and its request
	Op        string            `json:"op,omitempty"`    // the operation, which may have several attempts
	Class     string            `json:"class,omitempty"` // the class of the request
	Route     string            `json:"route,omitempty"`
	Text      string            `json:"text,omitempty"`
	Version   uint64            `json:"version,omitempty"`
	Services  map[string]string `json:"services,omitempty"` // by route, between spaces
	ColdUntil time.Time         `json:"cold,omitzero"`
	OK        bool              `json:"whole,omitempty"`
	InTime    bool              `json:"within,omitempty"`
	Signed    bool              `json:"signed,omitempty"`
}

// Observer receives the events in order.
type Observer interface {
	Observe(ev Event)
}
