package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
)

func statusCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the versions that are intended, accepted and in force",
		Description: help(`The intended version is that of the operator's document, the accepted version is
the one on the platform, and the version in force is the one that a process uses,
shown with the time since when. A process is behind if its version is older than
the accepted one or than that of another process. The exit code is 1 if a process
is behind, has rejected a version or isn't ready, or if the intended version isn't
the accepted one.`, `
   godwitdrift status --platform http://192.0.2.2:8080 --intended deployment.toml
   godwitdrift status --platform http://192.0.2.2:8080 --short
   godwitdrift status --process 192.0.2.11:7002 --process 192.0.2.12:7002`),
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "intended", Usage: "`SOURCE` of the intended configuration, see `godwitdrift config --help`"},
			&cli.BoolFlag{Name: "short", Usage: "omit processes without a remark"},
			outputFlag(),
		),
		Action: func(ctx context.Context, cmd *cli.Command) error { return status(ctx, cmd, i) },
	}
}

func status(ctx context.Context, cmd *cli.Command, i do.Injector) error {
	v := fleetView{}
	if name := cmd.String("intended"); name != "" {
		d, err := sourcesOf(i).read(ctx, name)
		if err != nil {
			return err
		}
		out, err := summarize(d)
		if err != nil {
			return err
		}
		v.Intended = &intended{Version: out.Version, Revision: d.Revision}
	}
	targets, err := targetsOf(ctx, cmd, i)
	if err != nil {
		return err
	}
	if cmd.String("platform") != "" {
		v.Accepted = acceptedBy(ctx, platformOf(cmd, i))
	}
	replies := queryAll(i, targets, func(c gdoperator.Client) (gdoperator.Status, error) {
		return c.Status(ctx)
	})
	v.setProcesses(replies)
	now := do.MustInvoke[clock](i)()
	if err := writeOutput(cmd, do.MustInvoke[console](i).out, v, v.text(now, cmd.Bool("short"))); err != nil {
		return err
	}
	return v.err()
}

// acceptedBy returns the accepted version. It reads only the index, which is one
// request whatever the number of services.
func acceptedBy(ctx context.Context, p platform) *accepted {
	idx, err := p.index(ctx)
	if err != nil {
		return &accepted{Error: err.Error()}
	}
	return &accepted{Revision: idx.Revision}
}

// err returns the error for findings or unreachable processes, or nil.
func (v fleetView) err() error {
	switch {
	case v.numFindings() > 0:
		return finding(errors.Errorf("%d findings, see the remarks", v.numFindings()))
	case v.numUnreachable() > 0:
		return unreachable(errors.Errorf("%d of the processes and the platform could not be reached", v.numUnreachable()))
	default:
		return nil
	}
}
