// Package gdhostrig runs the product's programs for the users' platform against
// stand-ins of it: the store, the routers that hash packets over ready entry hosts,
// callers and upstreams that speak flows, and the operator. It is written from the
// platform's published pages.
//
// # Usage
//
//	r := &gdhostrig.Rig{Binary: "bin/gdhost", Dir: dir, Seed: 1, Shape: gdhostrig.Small(), Observer: ledger}
//	err := r.Start(ctx)
//	r.Do(func(now time.Time) { r.Kill(now, r.Entries()[0]) })
//	...
//	r.Stop()
//
// The entry hosts and agents are real processes, each on a loopback address of its
// own. All else runs in one goroutine, the loop, so nothing of it needs a lock; Do
// brings a function there. Methods with the time as an argument belong to the loop.
package gdhostrig
