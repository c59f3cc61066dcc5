package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"
)

// run runs a command line and returns the exit code.
func run(ctx context.Context, i do.Injector, args []string) int {
	c := do.MustInvoke[console](i)
	err := newApp(i).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(c.err, err)
	}
	return codeOf(err)
}

func newApp(i do.Injector) *cli.Command {
	c := do.MustInvoke[console](i)
	app := &cli.Command{
		Name:  "godwitdrift",
		Usage: "a layer-4 load balancer and its operator's commands",
		Description: help(`Operators print a configuration with the config library and publish it on the
platform. These commands show which one is intended, accepted and in force.`, `
   godwitdrift config check deployment.toml
   godwitdrift config diff published.toml deployment.toml
   godwitdrift status --platform http://192.0.2.2:8080
   godwitdrift balancer --settings balancer.toml`),
		Commands: []*cli.Command{
			configCommand(i),
			statusCommand(i),
			dumpCommand(i),
			explainCommand(i),
			explainLogCommand(i),
			balancerCommand(i),
			agentCommand(i),
		},
		HideVersion:    true,
		Suggest:        true,
		Reader:         c.in,
		Writer:         c.out,
		ErrWriter:      c.err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	prepare(app)
	return app
}

// prepare configures a command and its subcommands: usage errors are returned without
// the full help text, and a group of commands rejects unknown subcommands.
func prepare(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return errors.Errorf("%s: %v (see --help)", cmd.FullName(), err)
	}
	if cmd.Action == nil {
		cmd.HideHelpCommand = true
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return errors.Errorf("%s: unknown command %q (see --help)", cmd.FullName(), name)
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range cmd.Commands {
		prepare(sub)
	}
}

// help formats the description of a command, with examples and exit codes.
func help(text, examples string) string {
	return text + "\n\nExamples:" + examples + "\n" + strings.TrimRight(exitCodes, "\n")
}

// requireOneArg returns the only argument. The error calls it argName.
func requireOneArg(cmd *cli.Command, argName string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", errors.Errorf("%s: one argument is required: %s", cmd.FullName(), argName)
	}
	return cmd.Args().First(), nil
}
