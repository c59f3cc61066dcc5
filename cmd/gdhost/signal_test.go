package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/platform"
)

// runMainVariable makes the test binary run the program instead of the tests.
const runMainVariable = "GDHOST_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestHangupDuringStart signals the program as soon as the Go runtime has started, long
// before main runs. The default action of SIGHUP would end the process.
func TestHangupDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	require.NoError(t, os.WriteFile(path, []byte(settingsText(t)), 0o600))
	for range 5 {
		var out strings.Builder
		cmd := exec.Command(os.Args[0], "entry", "--settings", path)
		cmd.Env = append(os.Environ(), runMainVariable+"=1")
		cmd.Stdout, cmd.Stderr = &out, &out
		require.NoError(t, cmd.Start())
		awaitRuntime(t, cmd.Process.Pid)
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		awaitReadiness(t, path)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, cmd.Wait(), out.String())
		require.Contains(t, out.String(), `"text":"process stopped"`)
	}
}

// awaitRuntime waits until the process has a second thread, which the Go runtime starts.
func awaitRuntime(t *testing.T, pid int) {
	t.Helper()
	require.Eventually(t, func() bool {
		threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
		return err == nil && len(threads) > 1
	}, eventTimeout, 100*time.Microsecond)
}

// awaitReadiness waits until the process with the settings answers the routers' probes.
func awaitReadiness(t *testing.T, path string) {
	t.Helper()
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		res, err := http.Get("http://" + s.ReadyAddress().String() + platform.ReadyPath)
		return err == nil && res.Body.Close() == nil
	}, eventTimeout, 5*time.Millisecond)
}
