package gdoperator

import "time"

// Status is what a process says about itself.
type Status struct {
	// Name is the process's name from its settings.
	Name string `json:"name"`
	// Role is "balancer" or "agent".
	Role string `json:"role"`
	// Domain is the failure domain in which the process runs.
	Domain string `json:"domain"`
	// Incarnation differs with each start of the process.
	Incarnation uint64 `json:"incarnation"`
	// Ready says whether the process serves.
	Ready bool `json:"ready"`
	// Version is the version in force, or "" as long as there is none.
	Version string `json:"version"`
	// Revision is the operator's revision number of that version.
	Revision uint64 `json:"revision"`
	// Since is when the version came into force here.
	Since time.Time `json:"since"`
	// Seen is the highest accepted version of which the process knows.
	Seen string `json:"seen"`
	// Rejected is the last version that was refused, if any was since Since.
	Rejected *Rejection `json:"rejected,omitempty"`
}

// Rejection says why a version did not come into force.
type Rejection struct {
	// Version is the refused version, or "" when it could not be read at all.
	Version string `json:"version"`
	// Reason is the error, with every problem in it.
	Reason string `json:"reason"`
}

// Record is one decision that a process took.
type Record struct {
	// Time is when the decision was taken, by the process's own clock.
	Time time.Time `json:"time"`
	// Process is the name of the process that took it.
	Process string `json:"process"`
	// Flow identifies the flow: its token in hexadecimal, or its addresses.
	Flow string `json:"flow,omitempty"`
	// Request identifies the request, as the caller got it in Request-Id.
	Request string `json:"request,omitempty"`
	// Service is the service's name.
	Service string `json:"service,omitempty"`
	// Action is what was decided, such as "forward", "admit", "relay", "refuse".
	Action string `json:"action"`
	// Upstream is the upstream that was chosen, if any.
	Upstream string `json:"upstream,omitempty"`
	// Reason says why, such as "token", "rank-1", "queue-full", "domain-out".
	Reason string `json:"reason"`
	// Version is the version in force at that moment.
	Version string `json:"version,omitempty"`
}

// Matches reports whether the record is about the flow or the request. Every
// record is about the empty subject.
func (r Record) Matches(subject string) bool {
	return subject == "" || r.Flow == subject || r.Request == subject
}

// StatusSource is a process that can say what it is.
type StatusSource interface {
	// Status returns the present status.
	Status() Status
}

// Dumper is a process that can show its state.
type Dumper interface {
	// Dump returns a copy of the state as a typed value that encodes to JSON and
	// holds no secret.
	Dump() any
}

// DecisionSource keeps decision records.
type DecisionSource interface {
	// Decisions returns the newest records about the subject, at most last of
	// them and the oldest first.
	Decisions(subject string, last int) []Record
}
