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
		Description: help(`A balancer receives datagrams from the fabric and forwards each to an agent. It
runs until SIGTERM or SIGINT, and then sends what it has queued before it exits.
Settings: name, domain, node-address, operator-address, platform,
fleet-key-file, peers, log-level, listen-host, sockets.`, `
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
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "TOML `FILE` with the settings of the process"}
}

// runError marks the error of a process that failed at run time.
func runError(err error) error { return finding(errors.Wrap(err, "run")) }
