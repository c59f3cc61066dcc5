// Package gddemo runs load through a whole deployment while a plan changes the
// deployment or injects faults. The default plan kills and replaces a balancer,
// drains an upstream, and takes a failure domain out of service and back in.
//
// # Usage
//
//	d := &gddemo.Demo{Rig: rig, Duration: 30 * time.Second, Seed: 1, Progress: print}
//	result, err := d.Run(ctx)
//	if err == nil && result.Failed() {
//		// the run broke a promise
//	}
package gddemo
