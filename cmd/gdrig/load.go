package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

const loadHelp = `Runs flows against services that are already running, such as those that gdrig up
prints, and prints the same JSON object as gdrig demo. It can't read the upstreams'
records, so it doesn't detect requests that ran twice, or that ran although they were
refused with the outcome not-run.

Example:
   gdrig load --ca /tmp/gdrig-1/ca.pem --service booking=127.0.0.1:41000 --echo 20 --feeds 10`

const (
	defaultLoadSeconds = 10
	defaultLoadEcho    = 10
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "run flows against running services",
		Description: loadHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "ca", Usage: "PEM file with the certificate authority", Required: true},
			&cli.StringSliceFlag{Name: "service", Usage: "NAME=ADDRESS of a service; repeat for each service", Required: true},
			&cli.IntFlag{Name: "echo", Usage: "flows of small requests for each service", Value: defaultLoadEcho},
			&cli.IntFlag{Name: "feeds", Usage: "feeds for each service"},
			&cli.IntFlag{Name: "once", Usage: "flows of at-most-once requests for each service"},
			&cli.StringFlag{Name: "once-path", Usage: "path of at-most-once requests", Value: "/unlock"},
			&cli.DurationFlag{Name: "interval", Usage: "mean time between two requests of a flow"},
			&cli.IntFlag{Name: "seconds", Usage: "duration of the load in seconds", Value: defaultLoadSeconds},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random load", Value: 1},
		},
		Action: load,
	}
}

func load(ctx context.Context, cmd *cli.Command) error {
	roots, err := gdload.LoadRoots(cmd.String("ca"))
	if err != nil {
		return err
	}
	targets, err := targets(cmd)
	if err != nil {
		return err
	}
	l := &gdload.Load{
		Targets: targets, Roots: roots, Interval: cmd.Duration("interval"), Seed: cmd.Uint64("seed"),
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(cmd.Int("seconds"))*time.Second)
	defer cancel()
	if err := l.Run(ctx); err != nil {
		return err
	}
	r := l.Result()
	for _, note := range r.Notes() {
		printStep(note)
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return errors.Wrap(err, "print result")
	}
	if r.Failed() {
		return errors.New("the run broke a promise")
	}
	return nil
}

// targets returns the load's targets as the flags define them.
func targets(cmd *cli.Command) ([]gdload.Target, error) {
	var all []gdload.Target
	for _, s := range cmd.StringSlice("service") {
		name, text, _ := strings.Cut(s, "=")
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "--service %s: not of the form NAME=ADDRESS", s)
		}
		all = append(all, gdload.Target{
			Service: name, Addr: addr, OncePath: cmd.String("once-path"),
			EchoFlows: cmd.Int("echo"), FeedFlows: cmd.Int("feeds"), OnceFlows: cmd.Int("once"),
		})
	}
	return all, nil
}
