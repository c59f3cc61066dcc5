package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gdbench"
)

const benchHelp = `Sends small requests through fabric and balancers, and the same requests directly
to the agents, in one run without delays or service time. Prints one JSON object
with the 50th and 99th percentiles of both paths and their differences, in ms.

Example:
   gdrig bench --deployment examples/rejilla-norte --seconds 10`

const (
	defaultBenchSeconds = 10
	defaultBenchFlows   = 8
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measure the latency that the product adds to a small request",
		Description: benchHelp,
		Flags: append(rigFlags(),
			&cli.StringFlag{Name: "service", Usage: "service to call (default: the first one)"},
			&cli.IntFlag{Name: "flows", Usage: "flows on each of the two paths", Value: defaultBenchFlows},
			&cli.IntFlag{Name: "seconds", Usage: "duration of the load in seconds", Value: defaultBenchSeconds}),
		Action: bench,
	}
}

func bench(ctx context.Context, cmd *cli.Command) error {
	rig, err := newRig(cmd)
	if err != nil {
		return err
	}
	rig.Spec.Settings = gdbench.WithoutDelays(rig.Spec.Settings)
	if err := rig.Start(ctx); err != nil {
		return err
	}
	defer rig.Stop()
	service := cmd.String("service")
	if service == "" {
		service = rig.Services()[0].Name
	}
	b := &gdbench.Bench{
		Rig: rig, Service: service, Flows: cmd.Int("flows"),
		Duration: time.Duration(cmd.Int("seconds")) * time.Second,
		Seed:     rig.Spec.Settings.Seed,
	}
	r, err := b.Run(ctx)
	if err != nil {
		return err
	}
	return errors.Wrap(json.NewEncoder(os.Stdout).Encode(r), "print result")
}
