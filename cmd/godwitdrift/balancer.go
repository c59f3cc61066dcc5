package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
)

func balancerCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "balancer",
		Usage: "run the balancer of an entry host",
		Description: help(`A balancer takes the datagrams that the fabric hands it and passes each to the
right agent. It runs until it is told to end with SIGTERM or SIGINT, and then
lets what it has in hand go out. Settings: name, domain, node-address,
operator-address, platform, fleet-key-file, peers, log-level, listen-host,
sockets.`, `
   godwitdrift balancer --settings /etc/godwitdrift/balancer.toml`),
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := gdsettings.Load[gdsettings.Balancer](cmd.String("settings"))
			if err != nil {
				return err
			}
			return runError(do.MustInvoke[runBalancer](i)(ctx, s))
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "TOML `FILE` with the process's settings"}
}

// runError marks the error of a process that failed while it ran.
func runError(err error) error { return finding(errors.Wrap(err, "run")) }
