// Package gdsoak injects seeded sequences of faults into a deployment of the product's
// programs and continuously checks the product's promises by what callers and upstreams
// observe. A promise is a guarantee of the product, such as "at-most-once".
//
// # Usage
//
//	s := &gdsoak.Soak{Binary: "bin/gdhost", Dir: dir, Seed: 7, Shape: gdhostrig.Small()}
//	report, err := s.Run(ctx)
//
// A seed determines the faults and their start times; the timing of the processes differs
// from run to run. A run that breaks a promise leaves its logs and the sequence of events
// in Dir. [Mutants] returns variants of the product that each break one promise, which
// show that the checks detect the breach.
package gdsoak
