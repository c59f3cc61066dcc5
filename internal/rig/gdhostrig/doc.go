// Package gdhostrig runs the product's programs for the users' platform against
// simulators of everything around them: the store, the routers that hash packets over
// ready entry hosts, callers and upstreams that use flows, and the operator. The
// simulators are written from the platform's published documentation.
//
// # Usage
//
//	r := &gdhostrig.Rig{Binary: "bin/gdhost", Dir: dir, Seed: 1, Shape: gdhostrig.Small(), Observer: checker}
//	err := r.Start(ctx)
//	r.Do(func(now time.Time) { r.Kill(now, r.Hosts(gdhostrig.RoleEntry)[0]) })
//	...
//	r.Stop()
//
// The entry hosts and agents are real processes, each on its own loopback address.
// Everything else runs in a single goroutine, the event loop, and needs no lock. Do runs
// a function in the loop. Methods that take the time as an argument must be called from
// the loop.
package gdhostrig
