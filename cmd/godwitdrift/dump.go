package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
)

// dumpResult is the state of one process, or the error.
type dumpResult struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state,omitempty"`
	Error string          `json:"error,omitempty"`
}

func dumpCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "show the full state of processes",
		Description: help(`The state of each process is a snapshot of one moment and contains no key. With
--name, only the process with this name in the platform's list of hosts is
queried.`, `
   godwitdrift dump --process 192.0.2.11:7002
   godwitdrift dump --platform http://192.0.2.2:8080 --name entry-1 --output json`),
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the only process to query"},
			outputFlag(),
		),
		Action: func(ctx context.Context, cmd *cli.Command) error { return dump(ctx, cmd, i) },
	}
}

func dump(ctx context.Context, cmd *cli.Command, i do.Injector) error {
	targets, err := targetsOf(ctx, cmd, i)
	if err != nil {
		return err
	}
	if name := cmd.String("name"); name != "" {
		targets = lo.Filter(targets, func(t target, _ int) bool { return t.name == name })
		if len(targets) == 0 {
			return errors.Errorf("no process has the name %q", name)
		}
	}
	replies := queryAll(i, targets, func(c gdoperator.Client) (json.RawMessage, error) { return c.Dump(ctx) })
	dumps := lo.Map(replies, func(r reply[json.RawMessage], _ int) dumpResult {
		if r.err != nil {
			return dumpResult{Name: r.target.name, Error: r.err.Error()}
		}
		return dumpResult{Name: r.target.name, State: r.value}
	})
	err = writeOutput(cmd, do.MustInvoke[console](i).out, dumps, func(w io.Writer) error {
		return writeDumps(w, dumps)
	})
	if err != nil {
		return err
	}
	if failed := lo.CountBy(dumps, func(d dumpResult) bool { return d.Error != "" }); failed > 0 {
		return unreachable(errors.Errorf("%d of %d processes returned no dump", failed, len(dumps)))
	}
	return nil
}

func writeDumps(w io.Writer, dumps []dumpResult) error {
	for _, d := range dumps {
		fmt.Fprintf(w, "== %s ==\n", d.Name)
		if d.Error != "" {
			fmt.Fprintln(w, d.Error)
			continue
		}
		if err := writeOutline(w, d.State); err != nil {
			return err
		}
	}
	return nil
}
