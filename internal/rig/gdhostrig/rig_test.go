package gdhostrig

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type noObserver struct{}

func (noObserver) Observe(Event) {}

// TestFailedStartLeavesNoSocketOpen starts a rig whose program does not exist.
func TestFailedStartLeavesNoSocketOpen(t *testing.T) {
	sockets := func() int {
		n := 0
		files, err := os.ReadDir("/proc/self/fd")
		require.NoError(t, err)
		for _, f := range files {
			if target, err := os.Readlink("/proc/self/fd/" + f.Name()); err == nil && len(target) > 6 && target[:6] == "socket" {
				n++
			}
		}
		return n
	}
	before := sockets()
	dir := t.TempDir()
	r := &Rig{
		Binary: filepath.Join(dir, "missing"), Dir: dir, Observer: noObserver{},
		Shape: Shape{Domains: []string{"a"}, EntryHostsPerDomain: 1},
	}
	require.ErrorContains(t, r.Start(t.Context()), "missing: no such file or directory")
	require.Eventually(t, func() bool { return sockets() == before }, 5*time.Second, 10*time.Millisecond)
}
