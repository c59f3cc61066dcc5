package gddiscovery

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// ErrHistoryLost is the error of a source that no longer has the changes after a
// revision: the whole state must be loaded again.
var ErrHistoryLost = errors.New("history is no longer available")

// Kind is what a change is about.
type Kind uint8

const (
	// Configuration is the routes and services, as a whole.
	Configuration Kind = iota + 1
	// Registration is one upstream's entry.
	Registration
	// Evacuation is one failure domain that is out while the subject exists.
	Evacuation
)

// Subject names what a change is about. The name is empty for the configuration.
type Subject struct {
	Kind Kind
	Name string
}

// Change is the state of a subject from a revision on.
type Change struct {
	Subject
	// Revision is the position of the change in the order of all changes.
	Revision uint64
	// Removed says that the subject was removed, or that its state can't be used.
	Removed bool
	// Config is set for a configuration.
	Config *Config
	// Upstream is set for a registration. For one that is gone it is the last that
	// was known.
	Upstream *Upstream
}

// Update is a run of changes.
type Update struct {
	Changes []Change
	// Revision is the one up to which the changes are complete.
	Revision uint64
	// Age is how long ago the source held this for true, at least.
	Age time.Duration
	// Full says that the changes are the whole state, so that what they do not have
	// was removed.
	Full bool
}

// Config is what operators have configured.
type Config struct {
	// Version is the operators' own number; it rises in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is how long a flow may be silent before it may be forgotten.
	IdleTimeout time.Duration
}

// Route says which services answer at a service address.
type Route struct {
	Name    string
	Address gdflow.Address
	Shares  []Share
	// Priority orders routes when not all can be served, 0 first.
	Priority int
	// LatencyObjective is the time within which an answer is worth its full benefit.
	LatencyObjective time.Duration
	// Timeout is the time after which an answer is worth nothing.
	Timeout time.Duration
	// Idempotent says that requests may run more than once.
	Idempotent bool
}

// Share is the part of a route's flows that a service gets.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxFlows is how many flows an upstream holds at most.
	MaxFlows int
	// ColdFor is how long an upstream stays cold after its start.
	ColdFor time.Duration
	// ColdFlowsPerSecond is how many new flows a cold upstream bears; 0 for no bound.
	ColdFlowsPerSecond float64
}

// Upstream is one server of a service, as it registered itself.
type Upstream struct {
	ID      string
	Service string
	Domain  string
	// Address is where the upstream takes packets, from its own host only.
	Address gdflow.Address
	// Slots is how many requests it works on at a time.
	Slots    int
	Draining bool
	// ColdFor is how long it stays cold from the time of the change.
	ColdFor time.Duration
	// StartUnixMilli is the upstream's own time of its start, in Unix milliseconds, or 0.
	StartUnixMilli int64
}
