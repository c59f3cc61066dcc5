package gdcompare_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdcompare"
	"godwitdrift.example/godwitdrift/platform/benchreport"
)

// sample is the report of a day with two kinds and two failure domains.
func sample(t *testing.T, inTime int) *benchreport.Report {
	t.Helper()
	r, err := benchreport.Decode(fmt.Appendf(nil, `{"G": 0.5, "tries": 130, "ends": {"503": 4, "200": 90},
"all": {"name": "all", "n": 100, "in_aim": %[1]d, "late": 4, "failed": 6, "worth": 0.9},
"classes": [{"name": "feed", "n": 80, "in_aim": %[1]d, "late": 4, "failed": 6}, {"name": "post", "n": 20, "in_aim": 20}],
"zones": [{"name": "a", "n": 60, "failed": 5}, {"name": "b", "n": 40, "late": 1, "failed": 1}],
"windows": [{"name": "0", "n": 50, "in_aim": 50}, {"name": "2", "n": 50, "in_aim": 40, "late": 4, "failed": 6, "p50_ms": 30, "p99_ms": 100}]}`, inTime))
	require.NoError(t, err)
	return r
}

func TestComparison(t *testing.T) {
	c := &gdcompare.Comparison{
		Versions: [2]string{"old", "new"}, Days: []gdcompare.Day{{"site", "trouble", 1}, {"site", "trouble", 2}}, Jobs: 2,
		Play: func(_ context.Context, version string, d gdcompare.Day) (*benchreport.Report, error) {
			return sample(t, len(version)*10+d.Seed), nil
		},
	}
	pairs, err := c.Run(t.Context())
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, gdcompare.WritePairs(&out, c.Versions, pairs))
	require.Contains(t, out.String(), "site, trouble, seed 2         old         new\n")
	require.Contains(t, out.String(), "  feed in time                0.400 (32)  0.400 (32)\n")
	require.Contains(t, out.String(), "  other domains late or lost  5.0 %       5.0 %\n")
	require.Len(t, gdcompare.Table(pairs), 22)
}

func TestComparisonNamesTheDayThatFailed(t *testing.T) {
	c := &gdcompare.Comparison{
		Versions: [2]string{"old", "new"}, Days: []gdcompare.Day{{"site", "trouble", 1}},
		Play: func(_ context.Context, version string, _ gdcompare.Day) (*benchreport.Report, error) {
			if version == "new" {
				return nil, errors.New("no such day")
			}
			return sample(t, 1), nil
		},
	}
	_, err := c.Run(t.Context())
	require.ErrorContains(t, err, "play trouble of site with new: no such day")
}

func TestAccount(t *testing.T) {
	var out strings.Builder
	require.NoError(t, gdcompare.WriteAccount(&out, sample(t, 70)))
	require.Equal(t, `window from s  asked  in time  late  lost  p50 ms  p99 ms
2              50     40       4     6     30      100
kind           asked  in time  late  lost  p50 ms  p99 ms
feed           80     70       4     6     0       0
post           20     20       0     0     0       0
callers in     asked  in time  late  lost  p50 ms  p99 ms
a              60     0        0     5     0       0
b              40     0        1     1     0       0
130 tries; 200: 90; 503: 4
`, out.String())
}

// TestCheckouts: a commit is played in a checkout, whose new journal entries come back.
func TestCheckouts(t *testing.T) {
	repository, folder := t.TempDir(), t.TempDir()
	for _, args := range [][]string{
		{"init", "-q"},
		{"-c", "user.name=t", "-c", "user.email=t@t", "commit", "-q", "--allow-empty", "-m", "first"},
		{"tag", "first"},
	} {
		out, err := exec.Command("git", append([]string{"-C", repository}, args...)...).CombinedOutput()
		require.NoError(t, err, "%s", out)
	}
	bench := filepath.Join(folder, "bench")
	script := "#!/bin/sh\nmkdir -p journal && echo entry > journal/1.json\n" +
		`while [ "$1" != --report ]; do shift; done; echo '{"all": {"n": 7}}' > "$2"` + "\n"
	require.NoError(t, os.WriteFile(bench, []byte(script), 0o700))
	require.NoError(t, os.Mkdir(filepath.Join(repository, "journal"), 0o700))
	b := &gdcompare.Bench{Checkouts: gdcompare.Checkouts{Repository: repository, Folder: folder}, Program: bench, Why: "test"}
	require.NoError(t, b.Add(t.Context(), "first"))
	r, err := b.Play(t.Context(), "first", gdcompare.Day{Site: "site.toml", Name: "trouble-1", Seed: 3})
	require.NoError(t, err)
	require.Equal(t, 7, r.All().Asked())
	require.NoError(t, b.KeepJournal("first"))
	require.FileExists(t, filepath.Join(repository, "journal", "1.json"))
	require.NoError(t, b.Remove(t.Context(), "first"))
	require.ErrorContains(t, b.Add(t.Context(), "second"), "second")
}
