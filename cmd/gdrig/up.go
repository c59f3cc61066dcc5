package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

const upHelp = `Starts simulators of the platform, the fabric and the upstreams, and each
balancer and agent as a process, then prints one line for each service:

   SERVICE NAME ADDRESS CA-FILE

The platform's URL and the processes' operator addresses, for godwitdrift status
and dump, go to standard error. The command runs until it is interrupted and then
removes its temporary directory.

Example:
   gdrig up --deployment examples/rejilla-norte`

func upCommand() *cli.Command {
	return &cli.Command{
		Name:        "up",
		Usage:       "start a deployment and keep it running",
		Description: upHelp,
		Flags:       rigFlags(),
		Action:      up,
	}
}

// rigFlags are the flags of each command that starts a rig.
func rigFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Usage: "directory with deployment.toml and rig.toml", Required: true},
		&cli.StringFlag{Name: "binary", Usage: "godwitdrift program (default: in the directory of gdrig)"},
		&cli.StringFlag{Name: "log-level", Usage: "log level of the processes", Value: "info"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the simulators and the load (default: from rig.toml)"},
	}
}

// newRig returns a rig with the settings of the flags, not yet started.
func newRig(cmd *cli.Command) (*gdrigup.Rig, error) {
	spec, err := gdrigup.ReadSpec(cmd.String("deployment"))
	if err != nil {
		return nil, err
	}
	if cmd.IsSet("seed") {
		spec.Settings.Seed = cmd.Uint64("seed")
	}
	binary, err := godwitdriftBinary(cmd)
	if err != nil {
		return nil, err
	}
	return &gdrigup.Rig{Spec: spec, Binary: binary, LogLevel: cmd.String("log-level"), Progress: printStep}, nil
}

// godwitdriftBinary returns the path of the godwitdrift program.
func godwitdriftBinary(cmd *cli.Command) (string, error) {
	if file := cmd.String("binary"); file != "" {
		return file, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", errors.Wrap(err, "find the path of gdrig")
	}
	return filepath.Join(filepath.Dir(self), "godwitdrift"), nil
}

func up(ctx context.Context, cmd *cli.Command) error {
	rig, err := newRig(cmd)
	if err != nil {
		return err
	}
	if err := rig.Start(ctx); err != nil {
		return err
	}
	defer rig.Stop()
	printStep("platform " + rig.Platform.URL())
	for _, p := range rig.Processes() {
		printStep(p.Role() + " " + p.Name() + ", operator address " + p.OperatorAddress())
	}
	for _, s := range rig.Services() {
		fmt.Println("SERVICE", s.Name, s.Addr, rig.CAFile())
	}
	<-ctx.Done()
	return nil
}
