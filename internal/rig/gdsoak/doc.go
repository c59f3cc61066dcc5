// Package gdsoak plays seeded series of faults against the product's programs and
// checks its promises all the while, from what callers and upstreams see.
//
// # Usage
//
//	s := &gdsoak.Soak{Binary: "bin/gdhost", Dir: dir, Seed: 7, Shape: gdhostrig.Small()}
//	report, err := s.Run(ctx)
//
// A seed fixes the faults and when they begin; how the processes take them differs
// from run to run. A run that breaks a promise leaves its logs and the order of events
// in Dir. [Mutants] breaks the product on purpose to show that each check notices.
package gdsoak
