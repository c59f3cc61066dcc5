// Command gdhost runs godwitdrift on the hosts of the users' platform: the entry
// hosts and the agents of the upstreams. The platform provides the settings.
//
// # Usage
//
//	gdhost entry
//	gdhost agent
//
// `gdhost COMMAND --help` explains each command.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/process/gdsignal"
)

func main() {
	hangups := gdsignal.Hangups()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := app(hangups).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "gdhost:", err)
		os.Exit(1)
	}
}

// app returns the command line. A process reloads its settings at each SIGHUP that it
// receives from hangups.
func app(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:     "gdhost",
		Usage:    "run godwitdrift on a host of the users' platform",
		Commands: []*cli.Command{entryCommand(hangups), agentCommand(hangups)},
	}
}
