package gdsync

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Action is something that the core requests from its caller.
type Action interface{ action() }

// ReadPlatform reads values from the platform, one call for each, in order.
type ReadPlatform struct {
	Keys []string
	// MinInterval is the minimum interval between two calls.
	MinInterval time.Duration
}

// ReadHosts reads the platform's list of hosts.
type ReadHosts struct{}

// Push sends an update to a peer.
type Push struct {
	To     Member
	Update Update
}

// Pull requests from a peer the update from version Have to the peer's version.
type Pull struct {
	From Member
	Have gdconf.Version
}

// Digest sends the active version to a peer, which replies with its own.
type Digest struct {
	To      Member
	Version gdconf.Version
}

// Activated reports that a configuration became active.
type Activated struct{ State *State }

// Rejected reports that a configuration is not valid. The active one stays
// active.
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

// NewMember returns the member with the given name and control address, an IP
// address with a port.
func NewMember(name, address string) Member { return Member{name: name, address: address} }

// Name returns the name of the process.
func (m Member) Name() string { return m.name }

// Address returns the control address.
func (m Member) Address() string { return m.address }

// Status describes the state of a core.
type Status struct {
	Version gdconf.Version
	// Seen is the highest version that is known to exist.
	Seen             gdconf.Version
	ActiveSince      time.Time
	PlatformContact  time.Time
	PlatformError    string
	RejectedAt       time.Time
	RejectedRevision uint64
	RejectedReason   string
	MemberCount      int
	Confirming       bool
}
