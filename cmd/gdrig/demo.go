package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gddemo"
	"godwitdrift.example/godwitdrift/internal/rig/gdplot"
)

const demoHelp = `Starts the deployment, runs its load, kills and replaces a balancer, drains an
upstream, and takes a failure domain out of service and back in. The steps go to
standard error; the last line of standard output is one JSON object:

   answered, wrong, misrouted, broken-flows, given-up, refused-not-run,
   doubled, unknown, p50-ms, p99-ms, imbalance

Flows that are aborted because their failure domain went out of service count as
given-up, not as broken-flows. The imbalance is the largest share of work divided
by the mean share, among the upstreams that stay in service throughout. The exit
code is 1 when wrong, misrouted, doubled or broken-flows is above 0.

Other plans inject single faults; plans that break flows by design, such as
agent-kill, don't count them as failures.

Examples:
   gdrig demo --deployment examples/kiosks --seconds 30 --seed 7
   gdrig demo --deployment examples/rejilla-norte --plan platform-stale`

const (
	defaultDemoSeconds   = 30
	defaultSettleSeconds = 5
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run load through a deployment while it changes",
		Description: demoHelp,
		Flags: append(rigFlags(),
			&cli.StringFlag{Name: "plan", Usage: "changes and faults under load: " + planNames(), Value: "change"},
			&cli.StringFlag{Name: "plot", Usage: "PNG file to write with latency, refusals and imbalance over time"},
			&cli.IntFlag{Name: "factor", Usage: "multiplies the flows that send requests", Value: 1},
			&cli.IntFlag{Name: "seconds", Usage: "duration of the load in seconds", Value: defaultDemoSeconds},
			&cli.IntFlag{Name: "settle", Usage: "seconds between the start and the load, until the agents can decide on callers' own idempotency keys", Value: defaultSettleSeconds}),
		Action: demo,
	}
}

// planNames returns the names of the plans, separated by commas.
func planNames() string {
	names := lo.Map(gddemo.Plans(), func(p gddemo.PlanInfo, _ int) string { return p.Name })
	return strings.Join(names, ", ")
}

func demo(ctx context.Context, cmd *cli.Command) error {
	rig, err := newRig(cmd)
	if err != nil {
		return err
	}
	if err := rig.Start(ctx); err != nil {
		return err
	}
	defer rig.Stop()
	d := &gddemo.Demo{
		Rig:        rig,
		Plan:       cmd.String("plan"),
		Duration:   time.Duration(cmd.Int("seconds")) * time.Second,
		LoadFactor: cmd.Int("factor"),
		Seed:       rig.Spec.Settings.Seed,
		SettleTime: time.Duration(cmd.Int("settle")) * time.Second,
		Progress:   printStep,
	}
	if isTerminal(os.Stderr) {
		d.Live = showLive
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := savePlot(cmd, d); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return errors.Wrap(err, "print result")
	}
	if d.Failed(r) {
		return errors.New("the run broke a promise")
	}
	return nil
}

// savePlot writes the chart of the run if the --plot flag is set.
func savePlot(cmd *cli.Command, d *gddemo.Demo) error {
	file := cmd.String("plot")
	if file == "" {
		return nil
	}
	marks := lo.Map(d.Marks(), func(m gddemo.Mark, _ int) gdplot.Mark { return gdplot.Mark(m) })
	return gdplot.Chart{Title: d.Rig.Spec.Deployment.Name, Samples: d.Samples(), Marks: marks}.Save(file)
}
