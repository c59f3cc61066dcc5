package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	outputText = "text"
	outputJSON = "json"
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: outputText,
		Usage: "`FORMAT` of the output: text or json",
		Validator: func(s string) error {
			if s != outputText && s != outputJSON {
				return errors.Errorf("%q is neither %q nor %q", s, outputText, outputJSON)
			}
			return nil
		},
	}
}

// writeOutput writes v as JSON or as text, as the command line requires.
func writeOutput(cmd *cli.Command, w io.Writer, v any, text func(io.Writer) error) error {
	if cmd.String("output") == outputText {
		return text(w)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write output")
}

// writeTable writes rows with aligned columns.
func writeTable(w io.Writer, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, cell)
		}
		fmt.Fprintln(tw)
	}
	return errors.Wrap(tw.Flush(), "write output")
}
