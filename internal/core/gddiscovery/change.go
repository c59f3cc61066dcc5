package gddiscovery

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdbackend"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// ErrHistoryLost is returned by a source that no longer has the changes after a
// revision. The full state must be loaded again.
var ErrHistoryLost = errors.New("history is no longer available")

// ErrUnreadable is returned by a source whose answer has begun but can't be read: it is too
// long, does not arrive in time, was cut, or is invalid. The same request would get the same
// again, or more. The full state is shorter: it has only the latest change of each subject.
var ErrUnreadable = errors.New("answer can't be read")

// Unreadable returns an error that wraps err and is ErrUnreadable.
func Unreadable(err error) error { return unreadableError{err} }

type unreadableError struct{ error }

// Is reports whether the target is ErrUnreadable.
func (unreadableError) Is(target error) bool { return target == ErrUnreadable }

// Unwrap returns the reason why the answer can't be read.
func (e unreadableError) Unwrap() error { return e.error }

// Kind is the kind of a subject.
type Kind uint8

const (
	// Configuration is the set of routes and services.
	Configuration Kind = iota + 1
	// Registration is the registration of an upstream.
	Registration
	// Evacuation is a failure domain that is out while the subject exists.
	Evacuation
)

// Subject identifies what a change is about. The name is empty for the configuration.
type Subject struct {
	Kind Kind
	Name string
}

// Change is the state of a subject as of a revision.
type Change struct {
	Subject
	// Revision is the position of the change in the order of all changes.
	Revision Revision
	// Removed reports that the subject was removed, or that its state is unusable.
	Removed bool
	// Config or Delta is set for a configuration. The full state has no deltas.
	Config *Config
	Delta  *ConfigDelta
	// Upstream is set for a registration. For a removed one it is the last known
	// value.
	Upstream *Upstream
	// First reports that the subject had no other value before. It is not sent to other hosts.
	First bool

	continues bool // no service of a route in between is missing; for a configuration
}

// version returns the version of the configuration that the change describes, or 0.
func (c *Change) version() uint64 {
	switch {
	case c.Config != nil:
		return c.Config.Version
	case c.Delta != nil:
		return c.Delta.Version
	}
	return 0
}

// Update is a list of changes.
type Update struct {
	Changes []Change
	// Revision is the revision up to which the changes are complete.
	Revision Revision
	// Age is the minimum time since the source held this state.
	Age time.Duration
	// EachChange reports that each change after the receiver's revision is there, and not
	// only the latest of each subject. It is not sent to other hosts.
	EachChange bool
	// Partial reports that the sender has later changes that were made before the state was as old as Age
	// says, so that the update confirms nothing.
	Partial bool
	// Full reports that the changes are the full state, so that subjects without a
	// change were removed.
	Full bool
}

// Config is the configuration that operators have set.
type Config struct {
	// Version is the operators' own version number. It increases by varying steps.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be idle before its state may be dropped.
	IdleTimeout time.Duration
}

// Route maps a service address to the services that answer there.
type Route struct {
	Name    string
	Address gdflow.Address
	Shares  []Share
	// Priority ranks routes for the case that not all can be served, 0 first.
	Priority int
	// LatencyObjective is the time within which an answer has its full value.
	LatencyObjective time.Duration
	// Timeout is the time after which an answer is worthless.
	Timeout time.Duration
	// Idempotent reports that requests may run more than once.
	Idempotent bool
}

// Share is the share of a route's flows that a service gets.
type Share = gdbackend.Share

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxFlows is the maximum number of flows that an upstream holds.
	MaxFlows int
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration
	// ColdFlowsPerSecond limits the new flows of a cold upstream, per second; 0 means
	// no limit.
	ColdFlowsPerSecond float64
}

// Upstream is one server of a service, as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Domain  string
	// Address is where the upstream receives packets, from its own host only.
	Address gdflow.Address
	// Slots is how many requests it processes concurrently.
	Slots    int
	Draining bool
	// ColdFor is how long it stays cold, from the time of the change.
	ColdFor time.Duration
	// StartUnixMilli is the start time of the upstream by its own clock, in Unix
	// milliseconds, or 0.
	StartUnixMilli int64
}
