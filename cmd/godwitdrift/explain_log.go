package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdlogtrace"
)

func explainLogCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "explain-log",
		Usage:     "show the way of a flow through the logs of processes, and its cause",
		ArgsUsage: "FLOW [FILE...]",
		Description: help(`FLOW is CALLER>SERVICE as in the logs, or the address and port of the caller. FILE
are logs of any processes; without one, standard input is read. Lines are sorted
by time; clocks of hosts may differ. The cause is the last event of a host that
the flow met, or the first refusal. The exit code is 1 if no line is about FLOW.`, `
   godwitdrift explain-log 100.64.0.7:40001 logs/*.log
   journalctl -o cat -u 'gdhost*' | godwitdrift explain-log 100.64.0.7:40001`),
		Flags:  []cli.Flag{outputFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error { return explainLog(cmd, do.MustInvoke[console](i)) },
	}
}

// logResult is the output of `explain-log`.
type logResult struct {
	Flow  string            `json:"flow"`
	Lines []gdlogtrace.Line `json:"lines"`
	Cause *gdlogtrace.Line  `json:"cause,omitempty"`
}

func explainLog(cmd *cli.Command, c console) error {
	args := cmd.Args().Slice()
	if len(args) == 0 {
		return errors.Errorf("%s: FLOW is missing (see --help)", cmd.FullName())
	}
	if err := checkFlow(args[0]); err != nil {
		return err
	}
	t := &gdlogtrace.Trace{Flow: args[0]}
	if err := readLogs(t, args[1:], c.in); err != nil {
		return err
	}
	out := logResult{Flow: t.Flow, Lines: t.Lines()}
	if cause, ok := t.Cause(); ok {
		out.Cause = &cause
	}
	if len(out.Lines) == 0 {
		return finding(errors.Errorf("none of %d lines is about flow %q", t.NumRead(), t.Flow))
	}
	return writeOutput(cmd, c.out, out, out.text)
}

// checkFlow returns an error if the text is neither a flow nor the address of a caller.
func checkFlow(text string) error {
	for _, address := range strings.SplitN(text, ">", 2) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(err, "flow %q is not CALLER:PORT>SERVICE:PORT or CALLER:PORT", text)
		}
	}
	return nil
}

func readLogs(t *gdlogtrace.Trace, files []string, in io.Reader) error {
	if len(files) == 0 {
		return t.Read("standard input", in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		err = t.Read(name, f)
		if closed := f.Close(); err == nil {
			err = errors.Wrap(closed, "close log")
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r logResult) text(w io.Writer) error {
	rows := [][]string{{"TIME", "PROCESS", "EVENT", "TEXT", "REASON", "INPUTS"}}
	for _, l := range r.Lines {
		rows = append(rows, logRow(l))
	}
	if r.Cause != nil {
		rows = append(rows, []string{"cause:"}, logRow(*r.Cause))
	}
	return writeTable(w, rows)
}

func logRow(l gdlogtrace.Line) []string {
	var inputs []string
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		inputs = append(inputs, fmt.Sprintf("%s=%v", k, l.Fields[k]))
	}
	return []string{
		l.Time.UTC().Format(time.RFC3339Nano), l.Process, fmt.Sprint(l.Event), l.Text, cmp.Or(l.Reason, "-"), strings.Join(inputs, " "),
	}
}
