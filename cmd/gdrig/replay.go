package main

import (
	"bufio"
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/core/gdtrace"
)

const replayHelp = `Feeds each recorded trace to new decision cores, in virtual time, and compares
their decisions with the outcomes in the trace. Prints for each trace the first
differences with their positions, then one line with the totals. The exit code is
1 when an outcome differs or a trace can't be read. docs/TRACES.md describes the
format.

Examples:
   gdrig replay internal/core/gdtrace/testdata/kiosks.trace
   gdrig replay internal/core/gdtrace/testdata/*.trace`

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:        "replay",
		Usage:       "replay recorded traces and compare their outcomes",
		ArgsUsage:   "FILE...",
		Description: replayHelp,
		Action:      replay,
	}
}

func replay(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return errors.New("replay: no trace file given")
	}
	different := 0
	for _, path := range cmd.Args().Slice() {
		n, err := replayFile(path)
		if err != nil {
			return errors.Wrapf(err, "replay %s", path)
		}
		different += n
	}
	if different > 0 {
		return errors.Errorf("replay: the outcomes of %d events differ from the trace", different)
	}
	return nil
}

// replayFile prints the result for one trace and returns the number of events
// whose outcomes differ.
func replayFile(path string) (int, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer f.Close()
	r, err := gdtrace.Replay(bufio.NewReader(f))
	for _, d := range r.Differences() {
		fmt.Println(d)
	}
	if err != nil {
		return 0, err
	}
	fmt.Printf("%s: %d events, %d different\n", r.Name(), r.Events(), r.DifferenceCount())
	return r.DifferenceCount(), nil
}
