// Package gdpeer carries the control messages between the processes of one
// fleet: configuration updates, loads of upstreams and outcomes of requests that
// run at most once.
//
// The messages are a twirp service over HTTP/2 and TLS 1.3 with mutual authentication:
// each end presents a certificate whose ed25519 key is derived from the fleet key, and
// accepts exactly that key. A peer without the fleet key is refused during the handshake
// and counted. Each request contains the sender's name, incarnation and configuration
// version. The receiver passes that version to its configuration handler, so that the
// end with the older version gets an update.
//
// # Usage
//
// A process both serves its peers and calls them:
//
//	id, err := gdpeer.NewIdentity(fleet.Derive("peer", gdpeer.SeedBytes))
//	...
//	srv := &gdpeer.Server{Identity: id, Incarnation: inc, Config: syncer, Loads: admission}
//	go srv.Serve(ctx, listener)
//
//	d := &gdpeer.Dialer{Identity: id, Name: "booking-1", Incarnation: inc, Version: syncer.Version}
//	load, err := d.ExchangeLoad(ctx, "192.0.2.21:7000", mine)
//
// [Dialer] implements the Peers interface of package gdconfsync, and the Syncer of that
// package is the [ConfigHandler] of a [Server]. To serve other handlers on the same
// port, set Server.Handlers.
package gdpeer
