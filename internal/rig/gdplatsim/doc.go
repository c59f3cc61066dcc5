// Package gdplatsim is a simulator of the platform's configuration service and
// host list. Processes read both over HTTP; tests and the rig publish through the
// methods of [Platform].
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
// [Platform.SetDown] closes connections without an answer, [Platform.SetStale]
// serves older values after newer ones, [Platform.SetGarbage] serves malformed
// values, and [Platform.SetDelay] delays each answer. [Platform.Reads] counts each
// read; a watch counts as one, however long it waits.
package gdplatsim
