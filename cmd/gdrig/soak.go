package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
	"godwitdrift.example/godwitdrift/internal/rig/gdsoak"
)

const soakHelp = `Injects seeded sequences of faults into gdhost processes and simulators of the users'
platform, and checks the product's promises throughout. Each seed runs for the fault
period (--trouble) and 19 s more. A seed that breaks a promise leaves settings, logs
and the sequence of events in a subdirectory of --out. The last line of standard output
is one JSON object:

   seeds, requests, faults, datagrams-harmed, checks, broken

The exit code is 1 when a promise was broken.

Examples:
   gdrig soak --seeds 50 --jobs 5
   gdrig soak --seed 7
   gdrig soak --minutes 5 --jobs 5
   gdrig soak --regressions --jobs 5
   gdrig soak --mutants
   gdrig soak --seed 1 --entries 40 --upstreams 220 --load 0.05`

const defaultFaultSeconds = 12

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "check the promises under seeded faults with real processes",
		Description: soakHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gdhost", Usage: "the program under test", Value: "bin/gdhost"},
			&cli.StringFlag{Name: "out", Usage: "directory for the files of failed seeds", Value: "soak-out"},
			&cli.Uint64Flag{Name: "seed", Usage: "the only seed, or the first one"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "minutes", Usage: "run new seeds for this number of minutes instead"},
			&cli.IntFlag{Name: "jobs", Usage: "number of seeds that run at the same time", Value: 1},
			&cli.IntFlag{Name: "trouble", Usage: "length in seconds of the period in which faults begin", Value: defaultFaultSeconds},
			&cli.StringSliceFlag{Name: "only", Usage: "inject these faults only, or run the mutants of these promises only: " + gdsoak.FaultNames()},
			&cli.BoolFlag{Name: "regressions", Usage: "run the seeds that once broke a promise"},
			&cli.BoolFlag{Name: "mutants", Usage: "instead, check that the soak detects a deliberately broken product for each promise; run it in the root of the source tree"},
			&cli.IntFlag{Name: "entries", Usage: "entry hosts in each failure domain", Value: 2},
			&cli.FloatFlag{Name: "load", Usage: "factor of the load, which grows with the number of upstreams", Value: 1},
			&cli.IntFlag{Name: "upstreams", Usage: "number of upstreams of both services together", Value: 7},
		},
		Action: soak,
	}
}

func soak(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("mutants") {
		return soakMutants(ctx, cmd)
	}
	bookings := (cmd.Int("upstreams")*2 + 2) / 3
	s := &gdsoak.Series{
		Soak: gdsoak.Soak{
			Binary: cmd.String("gdhost"), Dir: cmd.String("out"), OnlyFaults: cmd.StringSlice("only"),
			Shape:       gdhostrig.Sized(cmd.Int("entries"), bookings, cmd.Int("upstreams")-bookings).WithLoad(cmd.Float("load")),
			FaultPeriod: time.Duration(cmd.Int("trouble")) * time.Second,
		},
		Jobs: cmd.Int("jobs"), Progress: soakProgress,
	}
	sum, err := s.Run(ctx, soakSeeds(cmd))
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
		return errors.Wrap(err, "print summary")
	}
	if len(sum.Broken) > 0 {
		return errors.Errorf("soak: promises were broken; see %s", s.Dir)
	}
	return nil
}

// soakMutants runs the mutants and returns an error if the soak detects no breach for one
// of them.
func soakMutants(ctx context.Context, cmd *cli.Command) error {
	root, err := filepath.Abs(".")
	if err != nil {
		return errors.WithStack(err)
	}
	dir, err := filepath.Abs(cmd.String("out"))
	if err != nil {
		return errors.WithStack(err)
	}
	detected := make(map[string]int)
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(cmd.Int("jobs"))
	for _, m := range gdsoak.Mutants() {
		if only := cmd.StringSlice("only"); len(only) > 0 && !slices.Contains(only, m.Promise) {
			continue
		}
		g.Go(func() error {
			n, err := m.Run(ctx, root, dir, gdhostrig.Small())
			mu.Lock()
			defer mu.Unlock()
			detected[m.Name()] = n
			fmt.Fprintf(os.Stderr, "mutant of %s: detected %d times\n", m.Name(), n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(detected); err != nil {
		return errors.Wrap(err, "print result")
	}
	for promise, n := range detected {
		if n == 0 {
			return errors.Errorf("mutant of %s: the soak detected no breach", promise)
		}
	}
	return nil
}

// soakSeeds returns a function that yields the seeds that the flags select.
func soakSeeds(cmd *cli.Command) func() (uint64, bool) {
	if cmd.Bool("regressions") {
		remaining := gdsoak.Regressions()
		return func() (uint64, bool) {
			if len(remaining) == 0 {
				return 0, false
			}
			r := remaining[0]
			remaining = remaining[1:]
			return r.Seed, true
		}
	}
	seed, left := cmd.Uint64("seed"), cmd.Int("seeds")
	if m := cmd.Int("minutes"); m > 0 {
		end := time.Now().Add(time.Duration(m) * time.Minute)
		seed = uint64(time.Now().UnixMilli())
		return func() (uint64, bool) { seed++; return seed, time.Now().Before(end) }
	}
	return func() (uint64, bool) { seed++; left--; return seed - 1, left >= 0 }
}

// soakProgress prints the totals of a report and its broken promises.
func soakProgress(r gdsoak.Report) {
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Fprintf(os.Stderr, "seed %d: %d faults, %d requests, %.3f in time, %d store reads, %d breaches\n",
		r.Seed, faults, r.Requests, r.InTimeRatio, r.StoreReads, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Fprintf(os.Stderr, "   %s %s: %s\n", b.At.Format("15:04:05.000"), b.Promise, b.Text)
	}
}
