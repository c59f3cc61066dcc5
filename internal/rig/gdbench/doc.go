// Package gdbench measures what the path adds to a small request: the same
// requests go through fabric and balancers, and straight to the agents, in the
// same run.
//
// # Usage
//
//	b := &gdbench.Bench{Rig: rig, Service: "booking", Flows: 8, Length: 10 * time.Second}
//	r, err := b.Run(ctx)
//	fmt.Println(r.OverheadP50)
//
// The rig should be started without delays and without service time; see
// [WithoutDelays].
package gdbench
