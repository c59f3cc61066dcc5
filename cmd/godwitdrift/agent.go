package main

import (
	"context"

	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
)

func agentCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the agent beside an upstream",
		Description: help(`An agent terminates callers' flows, admits or refuses each request and protects
its upstream from overload. SIGTERM or SIGINT starts the drain, which aborts no
request in progress. Settings: those of a balancer except listen-host and
sockets, and upstream-id, upstream-url, health-path, cert-file, key-file,
max-flows, max-body-buffer-kib.`, `
   godwitdrift agent --settings /etc/godwitdrift/agent.toml`),
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := gdsettings.Load[gdsettings.Agent](cmd.String("settings"))
			if err != nil {
				return err
			}
			return runError(do.MustInvoke[runAgent](i)(ctx, s))
		},
	}
}
