// Command godwitdrift is the load balancer: the balancer and agent processes,
// and the operator's commands.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdserve"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	settings := &cli.StringFlag{Name: "settings", Required: true}
	app := &cli.Command{
		Name: "godwitdrift",
		Commands: []*cli.Command{
			{Name: "balancer", Flags: []cli.Flag{settings}, Action: runBalancer},
			{Name: "agent", Flags: []cli.Flag{settings}, Action: runAgent},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func runBalancer(ctx context.Context, c *cli.Command) error {
	s, err := gdsettings.Load[gdsettings.Balancer](c.String("settings"))
	if err != nil {
		return err
	}
	return gdserve.Balancer(ctx, s, os.Stderr)
}

func runAgent(ctx context.Context, c *cli.Command) error {
	s, err := gdsettings.Load[gdsettings.Agent](c.String("settings"))
	if err != nil {
		return err
	}
	return gdserve.Agent(ctx, s, os.Stderr)
}
