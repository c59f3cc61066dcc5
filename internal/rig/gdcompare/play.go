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
	from := filepath.Join(c.path(commit), "journal")
	entries, err := os.ReadDir(from)
	if err != nil {
		return errors.Wrap(err, "list the journal")
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		to := filepath.Join(c.Repository, "journal", e.Name())
		if err := copyNew(filepath.Join(from, e.Name()), to); err != nil {
			return errors.Wrap(err, "copy an entry of the journal")
		}
	}
	return nil
}

// copyNew copies a file, unless there is one at the destination.
func copyNew(from, to string) error {
	const mode = 0o644
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if errors.Is(err, os.ErrExist) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
