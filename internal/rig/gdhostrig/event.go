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
	// Asked: a caller sent the first packet of an attempt. Flow, ID, Op, Class, Host
	// (the entry host) and Version (that which has the route) are set.
	Asked Kind = "asked"
	// Took: an upstream accepted the opening of a flow.
	Took Kind = "took"
	// Opened: the caller's confirmation reached the upstream.
	Opened Kind = "opened"
	// Own and Wrong: a packet of an open flow reached its upstream, or another one.
	Own   Kind = "own"
	Wrong Kind = "wrong"
	// Ran: an upstream began to work on the request ID.
	Ran Kind = "ran"
	// Answered: the caller has the whole answer to ID. Whole is false if it is not the
	// upstream's answer to this request.
	Answered Kind = "answered"
	// Unopened: an attempt ended before its flow was open.
	Unopened Kind = "unopened"
	// NotRun: the upstream said that it has not run the request.
	NotRun Kind = "not-run"
	// Failed: an attempt ended without an answer after its flow was open.
	Failed Kind = "failed"
	// Cut: the caller of an open flow got a reset from Host. Signed is set if the
	// upstream sent it, and Via is set.
	Cut Kind = "cut"
	// Altered: a packet came that its sender did not write so.
	Altered Kind = "altered"
	// Closed: the flow ended at its upstream, or its upstream ended.
	Closed Kind = "closed"
	// Done: the operation ended; Whole says whether with success, Within whether in time.
	Done Kind = "done"

	// Draining: the store has the upstream's word that it drains.
	Draining Kind = "draining"
	// Registered: the store has the upstream; Cold says until when it is cold.
	Registered Kind = "registered"
	// Left: the upstream has ended.
	Left Kind = "left"
	// DomainOut and DomainBack: the store has the operator's order.
	DomainOut  Kind = "domain-out"
	DomainBack Kind = "domain-back"
	// Configured: the store has the configuration Version.
	Configured Kind = "configured"

	// Planned work on Host, Trouble at Host, and its end; Text says what it is. An
	// empty host is the store.
	Planned Kind = "planned"
	Trouble Kind = "trouble"
	Calm    Kind = "calm"
	// Exited: a process ended that nobody ended.
	Exited Kind = "exited"
)

// Event is what happened.
type Event struct {
	At       time.Time  `json:"at"`
	Kind     Kind       `json:"kind"`
	Host     string     `json:"host,omitempty"`
	Via      string     `json:"via,omitempty"` // the entry host of the flow's packets now
	Upstream string     `json:"upstream,omitempty"`
	Service  string     `json:"service,omitempty"`
	Domain   string     `json:"domain,omitempty"`
	Flow     gdflow.Key `json:"-"`
	ID       string     `json:"id,omitempty"`
	Op       string     `json:"op,omitempty"`
	Class    string     `json:"class,omitempty"`
	Route    string     `json:"route,omitempty"`
	Text     string     `json:"text,omitempty"`
	Version  uint64     `json:"version,omitempty"`
	Cold     time.Time  `json:"cold,omitzero"`
	Whole    bool       `json:"whole,omitempty"`
	Within   bool       `json:"within,omitempty"`
	Signed   bool       `json:"signed,omitempty"`
}

// Observer is told what happens, in order.
type Observer interface {
	Saw(ev Event)
}
