package gdcompare

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/platform/benchreport"
)

// Checkouts holds commits of a repository in folders of their own. Its exported fields must be set
// before the first call.
type Checkouts struct {
	// Repository is the folder of the repository, and Folder that of the checkouts.
	Repository, Folder string
}

// Add checks out a commit.
func (c *Checkouts) Add(ctx context.Context, commit string) error {
	return c.git(ctx, "worktree", "add", "--detach", c.path(commit), commit)
}

// Remove removes the checkout of a commit.
func (c *Checkouts) Remove(ctx context.Context, commit string) error {
	return c.git(ctx, "worktree", "remove", "--force", c.path(commit))
}

func (c *Checkouts) path(commit string) string { return filepath.Join(c.Folder, filepath.Base(commit)) }

func (c *Checkouts) git(ctx context.Context, args ...string) error {
	out, err := exec.CommandContext(ctx, "git", append([]string{"-C", c.Repository}, args...)...).CombinedOutput()
	return errors.Wrapf(err, "git %v: %s", args, out)
}

// Bench is the users' bench. Its exported fields must be set before the first call.
type Bench struct {
	Checkouts
	// Program is the path of the bench, and Why what its journal is to say of the runs.
	Program, Why string
}

// Play plays a day with the checkout of a commit, without charging processor time.
func (b *Bench) Play(ctx context.Context, commit string, d Day) (*benchreport.Report, error) {
	report, err := os.CreateTemp(b.Folder, "report-*.json")
	if err != nil {
		return nil, errors.Wrap(err, "create a file for the report")
	}
	defer report.Close()
	cmd := exec.CommandContext(ctx, b.Program, "run", d.Site, d.Name, "--seed", strconv.Itoa(d.Seed), "--no-cpu",
		"--jobs", "1", "--report", report.Name(), "--why", b.Why)
	cmd.Dir = b.path(commit)
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "run the bench: %s", out)
	}
	data, err := os.ReadFile(report.Name())
	if err != nil {
		return nil, errors.Wrap(err, "read the report")
	}
	return benchreport.Decode(data)
}

// KeepJournal copies the entries of a checkout's journal that the repository doesn't have.
func (c *Checkouts) KeepJournal(commit string) error {
	entries, err := filepath.Glob(filepath.Join(c.path(commit), "journal", "*"))
	if err != nil {
		return errors.Wrap(err, "list the journal")
	}
	for _, e := range entries {
		to := filepath.Join(c.Repository, "journal", filepath.Base(e))
		info, err := os.Stat(e)
		if err != nil || info.IsDir() {
			continue
		}
		if _, err := os.Stat(to); err == nil {
			continue
		}
		data, err := os.ReadFile(e)
		if err != nil {
			return errors.Wrap(err, "read an entry of the journal")
		}
		if err := os.WriteFile(to, data, info.Mode()); err != nil {
			return errors.Wrap(err, "copy an entry of the journal")
		}
	}
	return nil
}
