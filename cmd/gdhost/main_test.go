package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdsignal"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform"
)

const eventTimeout = 20 * time.Second

// settingsText returns settings of an entry host on a loopback address that no other test uses.
func settingsText(t *testing.T) string {
	t.Helper()
	n, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	ip := n.Addr(1, 1).String()
	port := func() int {
		l, err := net.Listen("tcp4", ip+":0")
		require.NoError(t, err)
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	hop := port()
	return fmt.Sprintf(`node_name=entry-1
zone=a
listen.datagram_addr=%[1]s:%[2]d
listen.ready=%[1]s:%[3]d
internal_ports=%[4]d,%[5]d
bounds.grace_s=1
limits.link_mbps=100
platform.address=%[1]s:1
`, ip, port(), port(), hop, hop+10)
}

// captureLog redirects standard output to a file until the test ends. The returned
// function returns a condition that the file contains the text.
func captureLog(t *testing.T) func(text string) func() bool {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = out
	t.Cleanup(func() { os.Stdout = stdout })
	return func(text string) func() bool {
		return func() bool {
			data, err := os.ReadFile(log)
			return err == nil && strings.Contains(string(data), text)
		}
	}
}

func requireState(t *testing.T, url string) {
	t.Helper()
	res, err := http.Get(url)
	require.NoError(t, err)
	defer res.Body.Close()
	state, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(state), `"revision":"0.0"`)
}

// TestChangedSettings: the running process applies changed settings, with and without a
// signal, and keeps the old ones if the new ones are invalid.
func TestChangedSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	good := settingsText(t)
	require.NoError(t, os.WriteFile(path, []byte(good), 0o600))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	logged := captureLog(t)
	ended := make(chan error, 1)
	hangups := gdsignal.Hangups()
	go func() { ended <- app(hangups).Run(t.Context(), []string{"gdhost", "agent", "--settings", path}) }()
	require.ErrorContains(t, <-ended, "name no upstream")
	ctx, stop := context.WithCancel(t.Context())
	go func() { ended <- app(hangups).Run(ctx, []string{"gdhost", "entry", "--settings", path}) }()
	ready := func() (int, error) {
		res, err := http.Get("http://" + s.ReadyAddress().String() + platform.ReadyPath)
		if err != nil {
			return 0, err
		}
		return res.StatusCode, res.Body.Close()
	}
	require.Eventually(t, func() bool { code, err := ready(); return err == nil && code == http.StatusServiceUnavailable },
		eventTimeout, 10*time.Millisecond, "no view yet")

	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Eventually(t, logged(`"text":"settings reloaded"`), eventTimeout, 10*time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("zone"), 0o600))
	require.Eventually(t, logged(`settings not reloaded, the previous ones stay in effect`), eventTimeout, 10*time.Millisecond)
	require.True(t, logged(`line 1: \"zone\" is not of the form name=value`)())
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(good, "zone=a", "zone=b", 1)), 0o600))
	require.Eventually(t, logged(`"need-restart":["zone"]`), eventTimeout, 10*time.Millisecond)
	code, err := ready()
	require.NoError(t, err, "the process keeps running")
	require.Equal(t, http.StatusServiceUnavailable, code)
	requireState(t, fmt.Sprintf("http://%s:%d%s", s.ReadyAddress().Addr(), metricsPort, statePath))
	stop()
	require.NoError(t, <-ended)
}

func TestCommandHelp(t *testing.T) {
	var out strings.Builder
	a := app(nil)
	a.Writer = &out
	commands := a.Commands
	require.NoError(t, a.Run(t.Context(), []string{"gdhost", "--help"}))
	for _, c := range commands {
		require.Contains(t, out.String(), c.Name)
		require.NotEmpty(t, c.Description)
	}
}
