package gdpeer

import (
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

// Sender identifies the process that sent a request.
type Sender struct {
	name        string
	incarnation uint64
	version     gdconf.Version
}

// Name returns the name of the process.
func (s Sender) Name() string { return s.name }

// Incarnation returns a number that differs with each start of the process.
func (s Sender) Incarnation() uint64 { return s.incarnation }

// Version returns the active configuration version of the sender.
func (s Sender) Version() gdconf.Version { return s.version }

// Load is the load of one upstream.
type Load struct {
	gdselector.Load
	// Upstream identifies the upstream.
	Upstream gdconf.UpstreamID
}

// PeerLoad is a peer's load, with the properties of the peer from the same response.
type PeerLoad struct {
	Load
	// Incarnation differs with each start of the peer.
	Incarnation uint64
	// Version is the active configuration version of the peer.
	Version gdconf.Version
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
		Upstream: gdconf.UpstreamID(l.GetUpstream()),
		Load:     gdselector.NewLoad(int(l.GetInFlight()), int(l.GetQueued()), int(l.GetLimit()), l.GetStarted()),
	}
}

func fromLoad(l Load) *gdpeerpb.Load {
	return &gdpeerpb.Load{
		Upstream: uint32(l.Upstream),
		InFlight: uint32(max(0, l.InFlight())),
		Queued:   uint32(max(0, l.Queued())),
		Limit:    uint32(max(0, l.Limit())),
		Started:  l.Started(),
	}
}
