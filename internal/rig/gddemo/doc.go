// Package gddemo runs load through a whole deployment while it changes: a
// balancer is killed and replaced, an upstream drains, and a failure domain is
// taken out and brought back.
//
// # Usage
//
//	d := &gddemo.Demo{Rig: rig, Length: 30 * time.Second, Seed: 1, Progress: print}
//	result, err := d.Run(ctx)
//	if err == nil && result.Failed() {
//		// a promise was broken
//	}
package gddemo
