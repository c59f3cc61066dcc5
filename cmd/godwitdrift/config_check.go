package main

import (
	"context"
	"fmt"
	"io"

	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// checkResult is the output of `config check` for a valid configuration.
type checkResult struct {
	Name      string `json:"name"`
	Version   string `json:"version"`
	Domains   int    `json:"domains"`
	Services  int    `json:"services"`
	Upstreams int    `json:"upstreams"`
}

func configCheckCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all problems of a configuration",
		ArgsUsage: "SOURCE",
		Description: help(sourceHelp+`

Each problem is printed with its place, value and line.`, `
   godwitdrift config check deployment.toml
   go run ./my-deployment | godwitdrift config check -`),
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := requireOneArg(cmd, "SOURCE")
			if err != nil {
				return err
			}
			d, err := sourcesOf(i).read(ctx, name)
			if err != nil {
				return err
			}
			out, err := summarize(d)
			if err != nil {
				return err
			}
			return writeOutput(cmd, do.MustInvoke[console](i).out, out, out.text)
		},
	}
}

func summarize(d config.Deployment) (checkResult, error) {
	v, err := gdconf.New(d)
	if err != nil {
		return checkResult{}, err
	}
	return checkResult{
		Name:      d.Name,
		Version:   v.Version().String(),
		Domains:   len(d.Domains),
		Services:  v.ServiceCount(),
		Upstreams: v.UpstreamCount(),
	}, nil
}

func (c checkResult) text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s: version %s is valid: %d failure domains, %d services, %d upstreams\n",
		c.Name, c.Version, c.Domains, c.Services, c.Upstreams)
	return err
}
