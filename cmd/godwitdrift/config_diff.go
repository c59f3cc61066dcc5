package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/config"
)

// difference is the outcome of `config diff`.
type difference struct {
	Changes []config.Change `json:"changes"`
	// Problems are the reasons not to publish the change.
	Problems []string `json:"problems"`
}

func configDiffCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "list what a new configuration changes",
		ArgsUsage: "FROM TO",
		Description: help(`FROM and TO are sources: a printed document (FILE, or - for standard input), a
directory with one file KEY.toml for each value, or the platform's http URL.

Lines start with + for added, - for removed and ~ for changed. When the change
must not be published as it is, the reasons follow, marked with !, and the exit
code is 1: the revision doesn't grow, an identifier is given to something else,
or a token key is changed in the wrong order.`, `
   godwitdrift config diff published.toml deployment.toml
   godwitdrift config diff --output json http://192.0.2.2:8080 deployment.toml`),
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.Errorf("%s: two arguments are needed: FROM TO", cmd.FullName())
			}
			from, err := sourcesOf(i).read(ctx, cmd.Args().Get(0))
			if err != nil {
				return err
			}
			to, err := sourcesOf(i).read(ctx, cmd.Args().Get(1))
			if err != nil {
				return err
			}
			out := compare(from, to)
			if err := emit(cmd, do.MustInvoke[console](i).out, out, out.text); err != nil {
				return err
			}
			if len(out.Problems) > 0 {
				return finding(errors.New("the change must not be published as it is"))
			}
			return nil
		},
	}
}

func compare(from, to config.Deployment) difference {
	out := difference{Changes: config.Diff(from, to), Problems: []string{}}
	if len(out.Changes) == 0 {
		out.Changes = []config.Change{}
		return out
	}
	var ps config.Problems
	if errors.As(config.CheckChange(from, to), &ps) {
		for _, p := range ps {
			out.Problems = append(out.Problems, p.Error())
		}
	}
	return out
}

func (d difference) text(w io.Writer) error {
	if len(d.Changes) == 0 {
		fmt.Fprintln(w, "no change")
	}
	for _, c := range d.Changes {
		fmt.Fprintln(w, c)
	}
	for _, p := range d.Problems {
		fmt.Fprintln(w, "!", p)
	}
	return nil
}
