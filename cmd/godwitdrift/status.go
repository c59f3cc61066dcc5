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
		Usage: "show what is intended, accepted and in force, side by side",
		Description: help(`Intended is the operator's own document, accepted is what the platform
publishes, and in force is what each process works with and since when. A
process is behind when its version is older than the accepted one or than one
that another process has. The exit code is 1 when a process is behind, refused a
version or isn't ready, or when the intended version isn't the accepted one.`, `
   godwitdrift status --platform http://192.0.2.2:8080 --intended deployment.toml
   godwitdrift status --platform http://192.0.2.2:8080 --short
   godwitdrift status --process 192.0.2.11:7002 --process 192.0.2.12:7002`),
		Flags: append(fleetFlags(),
			&cli.StringFlag{Name: "intended", Usage: "`SOURCE` of the intended configuration, see `godwitdrift config --help`"},
			&cli.BoolFlag{Name: "short", Usage: "leave out the processes without a remark"},
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
		out, err := summary(d)
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
	replies := askAll(i, targets, func(c gdoperator.Client) (gdoperator.Status, error) {
		return c.Status(ctx)
	})
	v.judge(replies)
	now := do.MustInvoke[clock](i)()
	if err := emit(cmd, do.MustInvoke[console](i).out, v, v.text(now, cmd.Bool("short"))); err != nil {
		return err
	}
	return v.verdict()
}

// acceptedBy reads the index only: one read, whatever the number of services.
func acceptedBy(ctx context.Context, p platform) *accepted {
	idx, err := p.index(ctx)
	if err != nil {
		return &accepted{Error: err.Error()}
	}
	return &accepted{Revision: idx.Revision}
}

// verdict is nil when nothing was found.
func (v fleetView) verdict() error {
	switch {
	case v.findings() > 0:
		return finding(errors.Errorf("%d findings, see the remarks", v.findings()))
	case v.missing() > 0:
		return unreachable(errors.Errorf("%d of the processes and the platform could not be reached", v.missing()))
	default:
		return nil
	}
}
