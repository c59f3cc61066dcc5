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

const soakHelp = `Plays seeded series of faults against gdhost processes and stand-ins of the users'
platform, and checks the product's promises all the while. Each seed takes the time of
its trouble and 19 s more. A seed that breaks a promise leaves settings, logs and the
order of events in a folder of the output. The last line of standard output is one
JSON object:

   seeds, requests, faults, datagrams-harmed, checks, broken

The exit code is 1 when a promise was broken.

Examples:
   gdrig soak --seeds 50 --jobs 5
   gdrig soak --seed 7
   gdrig soak --minutes 5 --jobs 5
   gdrig soak --regressions --jobs 5
   gdrig soak --mutants
   gdrig soak --seed 1 --entries 40 --upstreams 220 --load 0.05`

const defaultTroubleSeconds = 12

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:        "soak",
		Usage:       "check the promises under seeded faults with real processes",
		Description: soakHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gdhost", Usage: "the program under test", Value: "bin/gdhost"},
			&cli.StringFlag{Name: "out", Usage: "folder for what failed seeds leave", Value: "soak-out"},
			&cli.Uint64Flag{Name: "seed", Usage: "the only seed, or the first one"},
			&cli.IntFlag{Name: "seeds", Usage: "how many seeds", Value: 1},
			&cli.IntFlag{Name: "minutes", Usage: "play fresh seeds for so long instead"},
			&cli.IntFlag{Name: "jobs", Usage: "how many seeds at a time", Value: 1},
			&cli.IntFlag{Name: "trouble", Usage: "seconds in which faults begin", Value: defaultTroubleSeconds},
			&cli.StringSliceFlag{Name: "only", Usage: "play these faults only, or the mutants of these promises: " + gdsoak.FaultNames()},
			&cli.BoolFlag{Name: "regressions", Usage: "play the seeds that once broke a promise"},
			&cli.BoolFlag{Name: "mutants", Usage: "instead, break the product on purpose for each promise and see it noticed; in the source folder"},
			&cli.IntFlag{Name: "entries", Usage: "entry hosts in each failure domain", Value: 2},
			&cli.FloatFlag{Name: "load", Usage: "share of the load, which grows with the upstreams", Value: 1},
			&cli.IntFlag{Name: "upstreams", Usage: "upstreams of both services", Value: 7},
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
		return errors.Errorf("promises were broken; see %s", s.Dir)
	}
	return nil
}

// soakMutants plays all mutants and fails if the soak misses one.
func soakMutants(ctx context.Context, cmd *cli.Command) error {
	root, err := filepath.Abs(".")
	if err != nil {
		return errors.WithStack(err)
	}
	dir, err := filepath.Abs(cmd.String("out"))
	if err != nil {
		return errors.WithStack(err)
	}
	noticed := make(map[string]int)
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
			noticed[m.Promise] = n
			fmt.Fprintf(os.Stderr, "mutant of %s: noticed %d times\n", m.Promise, n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(noticed); err != nil {
		return errors.Wrap(err, "print result")
	}
	for promise, n := range noticed {
		if n == 0 {
			return errors.Errorf("the soak does not notice when %s is broken", promise)
		}
	}
	return nil
}

// soakSeeds returns the source of the seeds that the flags ask for.
func soakSeeds(cmd *cli.Command) func() (uint64, bool) {
	if cmd.Bool("regressions") {
		rest := gdsoak.Regressions()
		return func() (uint64, bool) {
			if len(rest) == 0 {
				return 0, false
			}
			r := rest[0]
			rest = rest[1:]
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

func soakProgress(r gdsoak.Report) {
	faults := 0
	for _, n := range r.Faults {
		faults += n
	}
	fmt.Fprintf(os.Stderr, "seed %d: %d faults, %d requests, %.3f in time, %d reads, %d broken\n",
		r.Seed, faults, r.Requests, r.InTimeRatio, r.StoreReads, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Fprintf(os.Stderr, "   %s %s: %s\n", b.At.Format("15:04:05.000"), b.Promise, b.Text)
	}
}
