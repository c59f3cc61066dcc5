// Command godwitdrift runs the processes of the load balancer, balancer and agent, and
// the operator's commands.
//
// # Usage
//
//	godwitdrift config check deployment.toml
//	godwitdrift status --platform http://192.0.2.2:8080
//	godwitdrift agent --settings agent.toml
//
// `godwitdrift COMMAND --help` describes each command with examples. Each command is in
// a file of its own; wire.go provides their dependencies.
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
