package gdchild_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdchild"
)

// TestHasLogged: a process is started again with the log of the one before it.
func TestHasLogged(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(log, []byte("an earlier process\n"), 0o600))
	release := filepath.Join(t.TempDir(), "release")
	c, err := gdchild.Start("child", log, "/bin/sh", "-c", "until [ -e "+release+" ]; do sleep 0.01; done; echo started; sleep 60")
	require.NoError(t, err)
	defer c.Kill()
	logged := func() bool {
		ok, err := c.HasLogged()
		require.NoError(t, err)
		return ok
	}
	require.False(t, logged())
	require.NoError(t, os.WriteFile(release, nil, 0o600))
	require.Eventually(t, logged, 20*time.Second, time.Millisecond)
}
