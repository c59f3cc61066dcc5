package gdpeer

import (
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

// Sender says who sent a request.
type Sender struct {
	name        string
	incarnation uint64
	version     gdconf.Version
}

// Name returns the process's name.
func (s Sender) Name() string { return s.name }

// Incarnation differs with each start of the process.
func (s Sender) Incarnation() uint64 { return s.incarnation }

// Version returns the configuration version in force at the sender.
func (s Sender) Version() gdconf.Version { return s.version }

// Load is the state of one upstream, counted in requests.
type Load struct {
	// Upstream identifies the upstream.
	Upstream gdconf.UpstreamID
	// InFlight is the number of requests that it runs.
	InFlight int
	// Queued is the number of requests that wait for it.
	Queued int
	// Limit is the number of requests that it may run now.
	Limit int
}

// PeerLoad is a peer's load with what its answer says of the peer.
type PeerLoad struct {
	Load
	// Incarnation differs with each start of the peer.
	Incarnation uint64
	// Version is the configuration version in force at the peer.
	Version gdconf.Version
}

// OutcomeState says what became of a request that runs at most once.
type OutcomeState int

const (
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown OutcomeState = iota
	// OutcomeDone says that the request ran; its answer is stored.
	OutcomeDone
	// OutcomeNotRun says that the request did not run and never will.
	OutcomeNotRun
	// OutcomeRunning says that the request runs now.
	OutcomeRunning
	// OutcomeNeverSeen says that the peer has no record of the request.
	OutcomeNeverSeen
)

// Outcome is a peer's record of a request.
type Outcome struct {
	State OutcomeState
	// Answer is the stored answer, when the state is OutcomeDone.
	Answer []byte
	// Incarnation differs with each start of the peer: a record of another
	// incarnation is lost.
	Incarnation uint64
}

// Question names a request of which the outcome is asked.
type Question struct {
	// Key is the idempotency key.
	Key string
	// Digest is the hash of the request, so that a key used twice is seen.
	Digest []byte
}

func toVersion(v *gdpeerpb.Version) gdconf.Version {
	return gdconf.NewVersion(v.GetRevision(), v.GetDigest())
}

func fromVersion(v gdconf.Version) *gdpeerpb.Version {
	return &gdpeerpb.Version{Revision: v.Revision(), Digest: v.Digest()}
}

func toSender(s *gdpeerpb.Sender) Sender {
	return Sender{name: s.GetName(), incarnation: s.GetIncarnation(), version: toVersion(s.GetVersion())}
}

func toLoad(l *gdpeerpb.Load) Load {
	return Load{
		Upstream: gdconf.UpstreamID(l.GetUpstream()), InFlight: int(l.GetInFlight()),
		Queued: int(l.GetQueued()), Limit: int(l.GetLimit()),
	}
}

func fromLoad(l Load) *gdpeerpb.Load {
	return &gdpeerpb.Load{
		Upstream: uint32(l.Upstream), InFlight: uint32(max(0, l.InFlight)),
		Queued: uint32(max(0, l.Queued)), Limit: uint32(max(0, l.Limit)),
	}
}
