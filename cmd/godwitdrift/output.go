package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
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

// emit writes v as JSON when the command line asks for it, else the text.
func emit(cmd *cli.Command, w io.Writer, v any, text func(io.Writer) error) error {
	if cmd.String("output") == outputText {
		return text(w)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write output")
}

// table writes rows with aligned columns.
func table(w io.Writer, rows [][]string) error {
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

// progress shows on a terminal how far a long run has come.
type progress struct {
	w     io.Writer
	total int
}

// newProgress returns a progress line on w; it shows nothing unless w is a
// terminal.
func newProgress(w io.Writer, total int) progress {
	f, ok := w.(*os.File)
	if !ok {
		return progress{}
	}
	st, err := f.Stat()
	if err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return progress{}
	}
	return progress{w: w, total: total}
}

func (p progress) show(done int) {
	if p.w != nil {
		fmt.Fprintf(p.w, "\rasked %d of %d", done, p.total)
	}
}

func (p progress) clear() {
	if p.w != nil {
		fmt.Fprint(p.w, "\r\033[K")
	}
}
