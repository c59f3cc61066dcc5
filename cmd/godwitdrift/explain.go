package main

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
)

// defaultExplainLast is the default maximum number of records of each process.
const defaultExplainLast = 100

func explainCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show why a flow or a request was forwarded or refused",
		ArgsUsage: "SUBJECT",
		Description: help(`SUBJECT is a flow (the address and port of its caller) or the identifier of a
request, as in a decision record or in the response to the caller. The records of all processes are sorted by time. Processes keep only the newest
records, and their clocks may differ. The exit code is 1 if there is no record.`, `
   godwitdrift explain --platform http://192.0.2.2:8080 r-7f3a
   godwitdrift explain --process 192.0.2.11:7002 --last 20 198.51.100.7:51002`),
		Flags: append(fleetFlags(),
			&cli.IntFlag{
				Name: "last", Value: defaultExplainLast, Usage: "at most the newest `N` records of each process",
				Validator: func(n int) error {
					if n < 1 || n > gdoperator.DefaultRecords {
						return errors.Errorf("%d is not between 1 and %d", n, gdoperator.DefaultRecords)
					}
					return nil
				},
			},
			outputFlag(),
		),
		Action: func(ctx context.Context, cmd *cli.Command) error { return explain(ctx, cmd, i) },
	}
}

// explainResult is the output of `explain`.
type explainResult struct {
	Subject string              `json:"subject"`
	Records []gdoperator.Record `json:"records"`
	// Errors are the errors of the processes that didn't respond.
	Errors []string `json:"errors"`
}

func explain(ctx context.Context, cmd *cli.Command, i do.Injector) error {
	subject, err := requireOneArg(cmd, "SUBJECT")
	if err != nil {
		return err
	}
	targets, err := targetsOf(ctx, cmd, i)
	if err != nil {
		return err
	}
	replies := queryAll(i, targets, func(c gdoperator.Client) ([]gdoperator.Record, error) {
		return c.Decisions(ctx, subject, cmd.Int("last"))
	})
	out := mergeRecords(subject, replies)
	if err := writeOutput(cmd, do.MustInvoke[console](i).out, out, out.text); err != nil {
		return err
	}
	if len(out.Errors) > 0 {
		return unreachable(errors.Errorf("%d of %d processes returned no records", len(out.Errors), len(replies)))
	}
	if len(out.Records) == 0 {
		return finding(errors.Errorf("no process has a record of %q", subject))
	}
	return nil
}

// mergeRecords merges the records of all processes, sorted by time.
func mergeRecords(subject string, replies []reply[[]gdoperator.Record]) explainResult {
	out := explainResult{Subject: subject, Records: []gdoperator.Record{}, Errors: []string{}}
	for _, r := range replies {
		out.Records = append(out.Records, r.value...)
		if r.err != nil {
			out.Errors = append(out.Errors, r.target.name+": "+r.err.Error())
		}
	}
	slices.SortStableFunc(out.Records, func(a, b gdoperator.Record) int { return a.Time.Compare(b.Time) })
	return out
}

func (e explainResult) text(w io.Writer) error {
	rows := [][]string{{"TIME", "PROCESS", "ACTION", "REASON", "SERVICE", "UPSTREAM", "VERSION"}}
	rows = append(rows, lo.Map(e.Records, func(r gdoperator.Record, _ int) []string {
		at := r.Time.UTC().Format(time.RFC3339Nano)
		dash := func(s string) string { return cmp.Or(s, "-") }
		return []string{at, r.Process, r.Action, r.Reason, dash(r.Service), dash(r.Upstream), dash(r.Version)}
	})...)
	for _, err := range e.Errors {
		rows = append(rows, []string{"no response from " + err})
	}
	return writeTable(w, rows)
}
