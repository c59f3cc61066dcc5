// Command gdrig runs godwitdrift on one machine against simulators of the
// platform, the fabric, the upstreams and the callers. It is a test tool and not
// part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "gdrig",
		Usage: "run godwitdrift on one machine against simulators",
		Commands: []*cli.Command{
			upCommand(), demoCommand(), loadCommand(), benchCommand(), replayCommand(), soakCommand(), compareCommand(), accountCommand(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gdrig:", err)
		os.Exit(1)
	}
}
