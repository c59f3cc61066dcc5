package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/config"
)

// diffResult is the output of `config diff`.
type diffResult struct {
	Changes []config.Change `json:"changes"`
	// Capacity lists the services whose number of slots in service changes.
	Capacity []capacity `json:"capacity"`
	// Problems are the reasons why the change must not be published.
	Problems []string `json:"problems"`
}

// capacity is the change of a service's number of slots in service: the slots of all
// upstreams that are not leaving and whose failure domain is in service.
type capacity struct {
	Service string `json:"service"`
	Before  int    `json:"slots-before"`
	After   int    `json:"slots-after"`
}

func configDiffCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "list the changes of a new configuration",
		ArgsUsage: "FROM TO",
		Description: help(`FROM and TO are sources: a printed document (FILE, or - for standard input), a
directory with one file KEY.toml per value, or the platform's http URL.

Lines start with + for added, - for removed, ~ for changed, and with = for a
change of the number of slots in service. If the change must not be published as
it is, lines with ! list the reasons and the exit code is 1: the revision doesn't
increase, an ID is reused, or the token keys change in the wrong order.`, `
   godwitdrift config diff published.toml deployment.toml
   godwitdrift config diff --output json http://192.0.2.2:8080 deployment.toml`),
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 2 {
				return errors.Errorf("%s: two arguments are required: FROM TO", cmd.FullName())
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
			if err := writeOutput(cmd, do.MustInvoke[console](i).out, out, out.text); err != nil {
				return err
			}
			if len(out.Problems) > 0 {
				return finding(errors.New("the change must not be published as it is"))
			}
			return nil
		},
	}
}

func compare(from, to config.Deployment) diffResult {
	out := diffResult{Changes: config.Diff(from, to), Capacity: capacities(from, to), Problems: []string{}}
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

func (d diffResult) text(w io.Writer) error {
	if len(d.Changes) == 0 {
		fmt.Fprintln(w, "no change")
	}
	for _, c := range d.Changes {
		fmt.Fprintln(w, c)
	}
	for _, c := range d.Capacity {
		fmt.Fprintf(w, "= services.%s: slots in service: %d -> %d\n", c.Service, c.Before, c.After)
	}
	for _, p := range d.Problems {
		fmt.Fprintln(w, "!", p)
	}
	return nil
}

func capacities(from, to config.Deployment) []capacity {
	before, after := slotsInService(from), slotsInService(to)
	out := []capacity{}
	for _, name := range slices.Sorted(maps.Keys(lo.Assign(before, after))) {
		if before[name] != after[name] {
			out = append(out, capacity{Service: name, Before: before[name], After: after[name]})
		}
	}
	return out
}

// slotsInService returns the number of slots in service by service. The deployment
// must be valid.
func slotsInService(d config.Deployment) map[string]int {
	out := make(map[string]int, len(d.Services))
	states := lo.SliceToMap(d.Domains, func(f config.Domain) (string, config.State) { return f.Name, f.State })
	for _, s := range d.Services {
		out[s.Name] = lo.SumBy(s.Upstreams, func(u config.Upstream) int {
			if u.State == config.StateLeaving || states[u.Domain] == config.StateOut {
				return 0
			}
			return u.Slots
		})
	}
	return out
}
