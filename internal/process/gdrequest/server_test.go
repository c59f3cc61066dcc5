package gdrequest_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

const self = 101

type fixedConfig struct{ view *gdconf.View }

func (c fixedConfig) View() *gdconf.View                      { return c.view }
func (fixedConfig) MayDecide(time.Time) bool                  { return true }
func (fixedConfig) ObservePeerVersion(string, gdconf.Version) {}

// fakePeers is a peer with free capacity that issues a key of its own.
type fakePeers struct {
	relayed atomic.Int64
	// broken makes a relay fail after the peer may have received the request.
	broken atomic.Bool
}

func (p *fakePeers) Relay(context.Context, string, *http.Request) (*http.Response, bool, error) {
	p.relayed.Add(1)
	if p.broken.Load() {
		return nil, true, io.ErrUnexpectedEOF
	}
	h := http.Header{}
	h.Set(gdrequest.HeaderKey, "key-of-a-peer")
	h.Set(gdrequest.HeaderOutcome, gdrequest.OutcomeNotRun)
	return &http.Response{StatusCode: http.StatusPreconditionRequired, Header: h, Body: http.NoBody}, true, nil
}

func (*fakePeers) Query(context.Context, string, gddedup.Query) (gddedup.Reply, error) {
	return gddedup.Reply{}, io.ErrUnexpectedEOF
}
func (*fakePeers) Release(context.Context, string, gddedup.Query) error { return nil }
func (*fakePeers) Notify(context.Context, string, gddedup.Notice) error { return nil }

func (*fakePeers) ExchangeLoad(context.Context, string, gdpeer.Load) (gdpeer.PeerLoad, error) {
	idle := gdselector.NewLoad(0, 0, 3, 0)
	return gdpeer.PeerLoad{Load: gdpeer.Load{Upstream: self + 1, Load: idle}}, nil
}

// start starts a server for the first upstream of the deployment.
func start(t *testing.T, d config.Deployment, upstream http.Handler) (*gdrequest.Server, *fakePeers) {
	t.Helper()
	backend := httptest.NewServer(upstream)
	t.Cleanup(backend.Close)
	target, err := url.Parse(backend.URL)
	require.NoError(t, err)
	return startAt(t, d, target)
}

// startAt starts a server for the first upstream of the deployment, at the address.
func startAt(t *testing.T, d config.Deployment, target *url.URL) (*gdrequest.Server, *fakePeers) {
	t.Helper()
	peers := &fakePeers{}
	s := &gdrequest.Server{
		Self: self, Incarnation: 7, Config: fixedConfig{gdfixture.View(d)}, Target: target, Peers: peers,
		Signer: gddedup.NewSigner([]byte("secret")), Rand: rand.New(rand.NewPCG(1, 1)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return s, peers
}

func deployment() config.Deployment {
	d := gdfixture.Deployment(1, 2)
	d.Services[0].Routes = []config.Route{{PathPrefix: "/unlock", Priority: 1, AtMostOnce: true}}
	return d
}

func post(s http.Handler, key string) *httptest.ResponseRecorder { return postTo(s, "/unlock", key) }

func postTo(s http.Handler, path, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("bay 7"))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// awaitIssuedKey sends requests without a key until the server is ready, and returns
// the key that the server issues.
func awaitIssuedKey(t *testing.T, s http.Handler) string {
	t.Helper()
	var key string
	require.Eventually(t, func() bool {
		key = post(s, "").Header().Get(gdrequest.HeaderKey)
		return key != ""
	}, 10*time.Second, time.Millisecond)
	return key
}

func TestSameKeyRunsOnceAndGetsTheSameAnswer(t *testing.T) {
	var runs atomic.Int64
	s, _ := start(t, deployment(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "run %d", runs.Add(1))
	}))
	key := awaitIssuedKey(t, s)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			w := post(s, key)
			if w.Code != http.StatusOK || w.Body.String() != "run 1" {
				t.Errorf("status %d, body %q", w.Code, w.Body)
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, runs.Load())
}

// TestLeavingAgentIssuesNoKey guards against a leaving agent issuing a key that no
// agent will run.
func TestLeavingAgentIssuesNoKey(t *testing.T) {
	d := deployment()
	d.Services[0].Upstreams[0].State = config.StateLeaving
	s, peers := start(t, d, http.NotFoundHandler())
	require.Equal(t, "key-of-a-peer", awaitIssuedKey(t, s))
	require.NotZero(t, peers.relayed.Load())
	require.Equal(t, "key-of-a-peer", post(s, "a key that no agent runs").Header().Get(gdrequest.HeaderKey))
}

// TestUncleanPathNeedsKey sends paths that an upstream may clean or decode to the
// path of an at-most-once route.
func TestUncleanPathNeedsKey(t *testing.T) {
	s, _ := start(t, deployment(), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the request ran without a key")
	}))
	awaitIssuedKey(t, s)
	for _, path := range []string{"/unlock/7", "/x/../unlock", "/./unlock", "//unlock", "/%75nlock"} {
		require.Equal(t, http.StatusPreconditionRequired, postTo(s, path, "").Code, path)
	}
}

// TestBrokenRelayIsUnknown breaks the relay after the peer may have received the
// request. The outcome must not be "not-run", even for an idempotent request.
func TestBrokenRelayIsUnknown(t *testing.T) {
	d := deployment()
	d.Services[0].Upstreams[0].State = config.StateLeaving
	s, peers := start(t, d, http.NotFoundHandler())
	awaitIssuedKey(t, s)
	peers.broken.Store(true)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/photographs", http.NoBody))
	require.Equal(t, gdrequest.OutcomeUnknown, w.Header().Get(gdrequest.HeaderOutcome))
}

// TestRequestBeforeTheFirstViewIsNotDecided sends requests to a server that has not
// started. The server does not close the key, and an earlier attempt may have run, so the
// outcome of a request with a key is unknown.
func TestRequestBeforeTheFirstViewIsNotDecided(t *testing.T) {
	s := &gdrequest.Server{
		Self: self, Config: fixedConfig{gdfixture.View(deployment())}, Target: &url.URL{},
		Signer: gddedup.NewSigner([]byte("secret")), Rand: rand.New(rand.NewPCG(1, 1)),
	}
	for key, want := range map[string]string{"": gdrequest.OutcomeNotRun, "a-key": gdrequest.OutcomeUnknown} {
		w := post(s, key)
		require.Equal(t, want, w.Header().Get(gdrequest.HeaderOutcome))
		require.NotEmpty(t, w.Header().Get("Retry-After"))
	}
}
