package main

import (
	"bytes"
	"context"
	"io"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/config"
)

func configPrintCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "print",
		Usage:     "print a configuration in its canonical form",
		ArgsUsage: "SOURCE",
		Description: help(sourceHelp+`

Equal configurations give equal bytes. With --values, the values for the platform
are written to files; publish the index last.`, `
   godwitdrift config print http://192.0.2.2:8080 > published.toml
   godwitdrift config print --values published/ deployment.toml`),
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: "values", Usage: "write the platform's values to `DIR` instead of one document"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := requireOneArg(cmd, "SOURCE")
			if err != nil {
				return err
			}
			d, err := sourcesOf(i).read(ctx, name)
			if err != nil {
				return err
			}
			if dir := cmd.String("values"); dir != "" {
				return writeValues(dir, d)
			}
			doc, err := document(d)
			if err != nil {
				return err
			}
			return writeOutput(cmd, do.MustInvoke[console](i).out, doc, func(w io.Writer) error {
				return config.Print(w, d)
			})
		},
	}
}

// document returns the printed document as a value for JSON, with the keys of the TOML
// document.
func document(d config.Deployment) (any, error) {
	var buf bytes.Buffer
	if err := config.Print(&buf, d); err != nil {
		return nil, err
	}
	var doc map[string]any
	err := toml.Unmarshal(buf.Bytes(), &doc)
	return doc, errors.Wrap(err, "read printed configuration")
}
