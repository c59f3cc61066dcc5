package gdconfsync

import (
	"context"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

// Platform is the read-only platform. Its errors carry the step and address.
type Platform interface {
	ReadValue(ctx context.Context, key string) (gdplatform.Value, error)
	Hosts(ctx context.Context) ([]gdplatform.Host, error)
}

// Peers calls other processes. Its errors carry the step and the peer.
type Peers interface {
	// Push sends an update.
	Push(ctx context.Context, to gdsync.Member, u gdsync.Update) error
	// Fetch returns what leads from the version to the peer's, and false when
	// the peer has nothing newer.
	Fetch(ctx context.Context, from gdsync.Member, have gdconf.Version) (gdsync.Update, bool, error)
	// Digest tells the version and returns the peer's.
	ExchangeDigest(ctx context.Context, to gdsync.Member, v gdconf.Version) (gdconf.Version, error)
	// Announce tells of a lease to read the platform.
	Announce(ctx context.Context, to gdsync.Member, l gdsync.Lease) error
}
