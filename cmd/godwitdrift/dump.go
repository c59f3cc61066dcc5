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

// dumped is the state of one process.
type dumped struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state,omitempty"`
	Error string          `json:"error,omitempty"`
}

func dumpCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "show the whole state of processes",
		Description: help(`The state is that of one moment, and holds no key. With --name, only the
process with this name in the platform's host list is asked.`, `
   godwitdrift dump --process 192.0.2.11:7002
   godwitdrift dump --platform http://192.0.2.2:8080 --name entry-1 --output json`),
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the only process to ask"},
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
	replies := askAll(i, targets, func(c gdoperator.Client) (json.RawMessage, error) { return c.Dump(ctx) })
	dumps := lo.Map(replies, func(r reply[json.RawMessage], _ int) dumped {
		if r.err != nil {
			return dumped{Name: r.target.name, Error: r.err.Error()}
		}
		return dumped{Name: r.target.name, State: r.value}
	})
	err = emit(cmd, do.MustInvoke[console](i).out, dumps, func(w io.Writer) error {
		return writeDumps(w, dumps)
	})
	if err != nil {
		return err
	}
	if failed := lo.CountBy(dumps, func(d dumped) bool { return d.Error != "" }); failed > 0 {
		return unreachable(errors.Errorf("%d of %d processes gave no dump", failed, len(dumps)))
	}
	return nil
}

func writeDumps(w io.Writer, dumps []dumped) error {
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
