// Package gdpeer carries the control messages between the processes of one
// fleet: configuration updates, loads of upstreams and outcomes of requests that
// run at most once.
//
// The messages are a twirp service over HTTP/2 and TLS 1.3. Both ends
// authenticate: each presents a certificate whose ed25519 key is derived from
// the fleet key, and accepts exactly that key. A peer that does not hold the
// fleet key is refused during the handshake and counted. Each request carries
// the sender's name, its incarnation and its configuration version, and the
// receiver hands that version to its configuration, so that the older of the
// two ends is corrected.
//
// # Usage
//
// A process serves its peers and calls them:
//
//	id, err := gdpeer.NewIdentity(fleet.Derive("peer tls", gdpeer.SeedBytes))
//	...
//	srv := &gdpeer.Server{Identity: id, Incarnation: inc, Config: syncer, Loads: admission}
//	go srv.Serve(ctx, listener)
//
//	d := &gdpeer.Dialer{Identity: id, Name: "booking-1", Incarnation: inc, Version: syncer.Version}
//	load, err := d.ExchangeLoad(ctx, "192.0.2.21:7000", mine)
//
// [Dialer] is the Peers port of package gdconfsync and [Server] takes its
// Syncer as Config. To serve other handlers on the same port, set
// Server.Handlers.
package gdpeer
