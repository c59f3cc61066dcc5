// Package gdplatsim is a stand-in of the platform's configuration service and
// host list. Processes can only read it; tests and the rig publish through its
// methods.
//
// # Usage
//
//	p := &gdplatsim.Platform{Lag: 200 * time.Millisecond}
//	p.Publish(values...)
//	p.SetHosts(hosts)
//	go p.Run(ctx)
//	// GET /v1/values/KEY, /v1/values/KEY?after=ETAG&wait=SECONDS, /v1/hosts
//
// # Faults
//
// [Platform.Down] closes connections unanswered, [Platform.Stale] serves older
// values after newer ones, [Platform.Garbage] answers with bytes that nobody
// published, and [Platform.SetDelay] delays each answer. Each read is counted, and
// a waiting watch counts as one.
package gdplatsim
