// Package gdbench measures the latency that the product adds to a small request.
// In one run, the same requests go through fabric and balancers, and directly to
// the agents.
//
// # Usage
//
//	b := &gdbench.Bench{Rig: rig, Service: "booking", Flows: 8, Duration: 10 * time.Second}
//	r, err := b.Run(ctx)
//	fmt.Println(r.OverheadP50)
//
// Start the rig without delays and without service time; see [WithoutDelays].
package gdbench
