package gdsync

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Action is something that the core asks its caller to do.
type Action interface{ action() }

// ReadPlatform asks for values of the platform, one call each, in order.
type ReadPlatform struct {
	Keys []string
	// MinInterval is the least time between two calls.
	MinInterval time.Duration
}

// ReadHosts asks for the platform's list of hosts.
type ReadHosts struct{}

// Push sends an update to a peer.
type Push struct {
	To     Member
	Update Update
}

// Pull asks a peer for what leads from version Have to its own version.
type Pull struct {
	From Member
	Have gdconf.Version
}

// Digest tells a peer the version in force here and asks for the peer's.
type Digest struct {
	To      Member
	Version gdconf.Version
}

// Activated says that a configuration came into force.
type Activated struct{ State *State }

// Rejected says that a configuration is not valid; what was in force stays.
type Rejected struct {
	Revision uint64
	Err      error
}

func (ReadPlatform) action() {}
func (ReadHosts) action()    {}
func (Push) action()         {}
func (Pull) action()         {}
func (Digest) action()       {}
func (Activated) action()    {}
func (Rejected) action()     {}

// Member is a process of the fleet.
type Member struct {
	name    string
	address string
}

// NewMember returns the member with the name and the control address, which is
// an IP address with a port.
func NewMember(name, address string) Member { return Member{name: name, address: address} }

// Name returns the process's name.
func (m Member) Name() string { return m.name }

// Address returns the control address.
func (m Member) Address() string { return m.address }

// Status describes what a core holds.
type Status struct {
	Version          gdconf.Version
	ActiveSince      time.Time
	PlatformContact  time.Time
	PlatformError    string
	RejectedAt       time.Time
	RejectedRevision uint64
	RejectedReason   string
	MemberCount      int
	Confirming       bool
}
