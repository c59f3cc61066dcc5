package gdoperator_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
)

type process struct{ key gdsettings.Key }

func (process) Status() gdoperator.Status {
	return gdoperator.Status{Name: "entry-1", Version: "12-ab", Since: time.Unix(1000, 0).UTC()}
}

func (p process) Dump() any {
	return struct {
		Flows int            `json:"flows"`
		Key   gdsettings.Key `json:"key"`
	}{Flows: 3, Key: p.key}
}

func TestClientReadsPort(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.key")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("ab", gdsettings.KeySize)), 0o600))
	key, err := gdsettings.ReadKey(path)
	require.NoError(t, err)
	p := process{key: key}
	ring := gdoperator.NewRing(3)
	for _, action := range []string{"forward", "admit", "relay", "refuse"} {
		ring.Add(gdoperator.Record{Flow: "f1", Request: "r-" + action, Action: action})
	}
	port := gdoperator.Port{Status: p, Dumper: p, Decisions: ring, Metrics: http.NotFoundHandler()}
	srv := httptest.NewServer(port.Handler())
	defer srv.Close()
	c := gdoperator.Client{Address: srv.Listener.Addr().String()}

	st, err := c.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, p.Status(), st)

	dump, err := c.Dump(t.Context())
	require.NoError(t, err)
	require.JSONEq(t, `{"flows":3,"key":"(redacted)"}`, string(dump))

	actions := func(subject string, last int) []string {
		records, err := c.Decisions(t.Context(), subject, last)
		require.NoError(t, err)
		out := []string{}
		for _, r := range records {
			out = append(out, r.Action)
		}
		return out
	}
	require.Equal(t, []string{"admit", "relay", "refuse"}, actions("f1", 10), "the oldest record was replaced")
	require.Equal(t, []string{"relay", "refuse"}, actions("", 2))
	require.Equal(t, []string{"relay"}, actions("r-relay", 10))
	require.Empty(t, actions("r-forward", 10))

	_, err = c.Decisions(t.Context(), "", 0)
	require.ErrorContains(t, err, "last: a number from 1 to 4096 is required")
	res, err := http.Post(srv.URL+"/dump", "", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusMethodNotAllowed, res.StatusCode)
	require.NoError(t, res.Body.Close())
}

// TestRingAddsWithoutAllocation checks that records on the packet path don't allocate.
func TestRingAddsWithoutAllocation(t *testing.T) {
	ring := gdoperator.NewRing(gdoperator.DefaultRecords)
	r := gdoperator.Record{Flow: "f1", Action: "forward", Reason: "token"}
	require.Zero(t, testing.AllocsPerRun(1000, func() { ring.Add(r) }))
}

// slowProcess blocks in Dump until release is closed.
type slowProcess struct {
	process
	started, release chan struct{}
}

func (p slowProcess) Dump() any {
	close(p.started)
	<-p.release
	return "state"
}

func TestSecondDumpIsRefused(t *testing.T) {
	p := slowProcess{started: make(chan struct{}), release: make(chan struct{})}
	h := gdoperator.Port{Status: p, Dumper: p, Decisions: gdoperator.NewRing(1), Metrics: http.NotFoundHandler()}.Handler()
	first, second := httptest.NewRecorder(), httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(first, httptest.NewRequest("GET", "/dump", nil))
	}()
	<-p.started
	h.ServeHTTP(second, httptest.NewRequest("GET", "/dump", nil))
	close(p.release)
	<-done
	require.Equal(t, http.StatusServiceUnavailable, second.Code)
	require.Equal(t, http.StatusOK, first.Code)
}
