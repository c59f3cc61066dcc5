package gdconfsync

import (
	"context"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

// Platform reads from the platform. Its errors name the operation and the address.
type Platform interface {
	ReadValue(ctx context.Context, key string) (gdplatform.Value, error)
	Hosts(ctx context.Context) ([]gdplatform.Host, error)
}

// Peers calls other processes. Its errors name the operation and the peer.
type Peers interface {
	// Push sends an update.
	Push(ctx context.Context, to gdsync.Member, u gdsync.Update) error
	// Fetch returns an update from the version to the peer's version, and false if
	// the peer has no newer one.
	Fetch(ctx context.Context, from gdsync.Member, have gdconf.Version) (gdsync.Update, bool, error)
	// ExchangeDigest sends the version and returns the peer's.
	ExchangeDigest(ctx context.Context, to gdsync.Member, v gdconf.Version) (gdconf.Version, error)
	// Announce announces a lease to read the platform.
	Announce(ctx context.Context, to gdsync.Member, l gdsync.Lease) error
}
