package gdoperator

import "time"

// Status is the status of a process.
type Status struct {
	// Name is the process's name from its settings.
	Name string `json:"name"`
	// Role is "balancer" or "agent".
	Role string `json:"role"`
	// Domain is the failure domain in which the process runs.
	Domain string `json:"domain"`
	// Incarnation is different after each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Ready reports whether the process serves.
	Ready bool `json:"ready"`
	// Version is the active configuration version, or "" if there is none yet.
	Version string `json:"version"`
	// Revision is the operator's revision number of Version.
	Revision uint64 `json:"revision"`
	// Since is the time at which Version became active in this process.
	Since time.Time `json:"since"`
	// Seen is the highest accepted version that the process knows to exist. It is above
	// Version while the process fetches it.
	Seen string `json:"seen"`
	// Rejected is the last version that was rejected after Since, if any.
	Rejected *Rejection `json:"rejected,omitempty"`
}

// Rejection is a version that did not become active, with the reason.
type Rejection struct {
	// Revision is the operator's revision number of the rejected configuration, or 0 if it
	// could not be read.
	Revision uint64 `json:"revision"`
	// Reason is the error, which contains all problems.
	Reason string `json:"reason"`
}

// Record is the record of one decision of a process.
type Record struct {
	// Time is the time of the decision by the process's own clock.
	Time time.Time `json:"time"`
	// Process is the name of the process.
	Process string `json:"process"`
	// Flow is the address of the flow's caller, or that of the peer that relayed the
	// request.
	Flow string `json:"flow,omitempty"`
	// Request identifies the request, as the caller received it in Godwitdrift-Request.
	Request string `json:"request,omitempty"`
	// Service is the service's name.
	Service string `json:"service,omitempty"`
	// Action is the decision, such as "forward", "start", "relay", "refuse".
	Action string `json:"action"`
	// Upstream is the chosen upstream, if any.
	Upstream string `json:"upstream,omitempty"`
	// Reason is the reason of the decision, such as "by-token", "queue-full", "domain-out".
	Reason string `json:"reason"`
	// Version is the active configuration version at the time.
	Version string `json:"version,omitempty"`
}

// Matches reports whether the subject is the record's flow or request. Every record
// matches the empty subject.
func (r Record) Matches(subject string) bool {
	return subject == "" || r.Flow == subject || r.Request == subject
}

// StatusSource is a process that has a Status.
type StatusSource interface {
	// Status returns the current status.
	Status() Status
}

// Dumper is a process that can dump its state.
type Dumper interface {
	// Dump returns a copy of the state as a typed value that can be encoded as JSON
	// and contains no secret.
	Dump() any
}

// DecisionSource holds decision records.
type DecisionSource interface {
	// Decisions returns the newest records of the subject, at most last of them, with
	// the oldest first.
	Decisions(subject string, last int) []Record
}
