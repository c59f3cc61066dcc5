// Command godwitdrift is the load balancer: the balancer and agent processes,
// and the operator's commands.
//
// # Usage
//
//	godwitdrift config check deployment.toml
//	godwitdrift status --platform http://192.0.2.2:8080
//	godwitdrift agent --settings agent.toml
//
// `godwitdrift COMMAND --help` explains each command with examples. Each command
// has a file of its own; wire.go says what they are built from.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, newInjector(os.Stdin, os.Stdout, os.Stderr), os.Args)
	stop()
	if code != exitOK {
		os.Exit(code)
	}
}
