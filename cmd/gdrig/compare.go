package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gdcompare"
	"godwitdrift.example/godwitdrift/platform/benchreport"
)

const compareHelp = `Plays the same days and seeds of the users' bench with two commits and prints the
figures side by side. The bench's journal entries are copied to the repository.

Example:
   gdrig compare --bench BENCH --site SITE.toml --day trouble-1 --day deploy/days/overload-burst.toml 4a6fa74 HEAD`

const accountHelp = `Prints from a report of the users' bench which requests were not answered in time, by
window, kind and failure domain of the callers, and how their tries ended.

Example:
   gdrig account report.json`

const defaultCompareJobs = 4

func compareCommand() *cli.Command {
	return &cli.Command{
		Name: "compare", Usage: "play days of the users' bench with two commits", ArgsUsage: "COMMIT COMMIT",
		Description: compareHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bench", Usage: "path of the users' bench", Required: true},
			&cli.StringSliceFlag{Name: "site", Usage: "site file; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "day", Usage: "name of a day of the site, or a file with one; may be repeated", Required: true},
			&cli.IntSliceFlag{Name: "seed", Usage: "seed of the days; may be repeated", Value: []int{1}},
			&cli.IntFlag{Name: "jobs", Usage: "days that are played at once", Value: defaultCompareJobs},
			&cli.StringFlag{Name: "why", Usage: "line for the bench's journal", Value: "gdrig compare"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, cmd *cli.Command) (err error) {
	if cmd.NArg() != 2 {
		return errors.Errorf("compare takes two commits, not %d", cmd.NArg())
	}
	repository, err := os.Getwd()
	if err != nil {
		return errors.Wrap(err, "find the repository")
	}
	folder, err := os.MkdirTemp("", "gdrig-compare-")
	if err != nil {
		return errors.Wrap(err, "create a folder for the checkouts")
	}
	defer os.RemoveAll(folder)
	b := &gdcompare.Bench{
		Checkouts: gdcompare.Checkouts{Repository: repository, Folder: folder}, Program: cmd.String("bench"), Why: cmd.String("why"),
	}
	versions := [2]string{cmd.Args().Get(0), cmd.Args().Get(1)}
	for _, v := range versions {
		if err := b.Add(ctx, v); err != nil {
			return err
		}
		defer func() {
			for _, e := range []error{b.KeepJournal(v), b.Remove(context.WithoutCancel(ctx), v)} {
				if err == nil {
					err = e
				}
			}
		}()
	}
	days, err := comparedDays(cmd)
	if err != nil {
		return err
	}
	var played atomic.Int32
	c := &gdcompare.Comparison{Versions: versions, Days: days, Jobs: cmd.Int("jobs")}
	c.Play = func(ctx context.Context, version string, d gdcompare.Day) (*benchreport.Report, error) {
		r, err := b.Play(ctx, version, d)
		if n := played.Add(1); isTerminal(os.Stderr) {
			showLive(fmt.Sprintf("%d of %d days played", n, len(versions)*len(days)))
		}
		return r, err
	}
	pairs, err := c.Run(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(gdcompare.Table(pairs)), "write the comparison")
	}
	return gdcompare.WritePairs(os.Stdout, versions, pairs)
}

// comparedDays returns the days of the flags. The bench runs in other folders, so paths are made
// absolute.
func comparedDays(cmd *cli.Command) ([]gdcompare.Day, error) {
	var days []gdcompare.Day
	for _, site := range cmd.StringSlice("site") {
		site, err := filepath.Abs(site)
		if err != nil {
			return nil, errors.Wrap(err, "find the site file")
		}
		for _, day := range cmd.StringSlice("day") {
			if filepath.Ext(day) == ".toml" {
				if day, err = filepath.Abs(day); err != nil {
					return nil, errors.Wrap(err, "find the file of the day")
				}
			}
			for _, seed := range cmd.IntSlice("seed") {
				days = append(days, gdcompare.Day{Site: site, Name: day, Seed: seed})
			}
		}
	}
	return days, nil
}

func accountCommand() *cli.Command {
	return &cli.Command{
		Name: "account", Usage: "print who was not served in time", ArgsUsage: "REPORT", Description: accountHelp, Action: account,
	}
}

func account(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return errors.Errorf("account takes one report, not %d", cmd.NArg())
	}
	data, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return errors.Wrap(err, "read the report")
	}
	r, err := benchreport.Decode(data)
	if err != nil {
		return err
	}
	return gdcompare.WriteAccount(os.Stdout, r)
}
