package gdplatform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

func serve(t *testing.T, h http.HandlerFunc) *gdplatform.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return &gdplatform.Client{URL: s.URL, HTTP: s.Client(), ETagKeys: []string{"index"}}
}

func TestReadValue(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/v1/values/index":
			http.NotFound(w, r)
		case r.URL.Query().Get("after") == `"1"`:
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte("revision = 1"))
		}
	})
	ctx := context.Background()
	v, err := c.ReadValue(ctx, "index")
	require.NoError(t, err)
	require.Equal(t, "revision = 1", string(v.Data()))
	v, err = c.ReadValue(ctx, "index")
	require.NoError(t, err)
	require.True(t, v.Unchanged())
	v, err = c.ReadValue(ctx, "service-booking")
	require.NoError(t, err)
	require.False(t, v.Present())
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	cases := map[string]struct {
		timeout time.Duration // zero means the default
		handler http.HandlerFunc
	}{
		"status 503": {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"larger than": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat("x", gdplatform.MaxValueBytes+1)))
		}},
		"deadline exceeded": {
			timeout: 200 * time.Millisecond,
			handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		},
	}
	for want, tc := range cases {
		t.Run(want, func(t *testing.T) {
			c := serve(t, tc.handler)
			c.Timeout = tc.timeout
			_, err := c.ReadValue(context.Background(), "index")
			require.ErrorContains(t, err, want)
			require.ErrorContains(t, err, c.URL)
		})
	}
}

// TestOddHostsHideNoOthers: one row of the list that can't be decoded must not keep a process from following the
// others.
func TestOddHostsHideNoOthers(t *testing.T) {
	const good = `{"name":"entry-1","role":"balancer","domain":"bilbao","address":"192.0.2.7:7000","state":"live"}`
	for _, odd := range []string{
		"7", "null", "{}", `"entry-2"`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000), `{"name":7}`,
		`{"name":"entry-2","address":"192.0.2.8:65536"}`, `{"name":"entry-2","address":1e999}`, `{"name":"entry-2","address":"192.0.2.8"}`,
	} {
		c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"hosts":[` + odd + "," + good + `]}`))
		})
		var reported []error
		c.OnInvalidHost = func(err error) { reported = append(reported, err) }
		hosts, err := c.Hosts(context.Background())
		require.NoError(t, err, "%.40s", odd)
		require.Len(t, hosts, 1)
		require.Equal(t, "entry-1", hosts[0].Name)
		require.Len(t, reported, 1)
		require.ErrorContains(t, reported[0], "decode host 0")
	}
}

func TestHosts(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hosts":[{"name":"entry-1","role":"balancer","domain":"bilbao",` +
			`"address":"192.0.2.7:7000","state":"leaving"}]}`))
	})
	hosts, err := c.Hosts(context.Background())
	require.NoError(t, err)
	require.Equal(t, []gdplatform.Host{{
		Name: "entry-1", Role: gdplatform.RoleBalancer, Domain: "bilbao",
		Address: "192.0.2.7:7000", State: gdplatform.HostLeaving,
	}}, hosts)
}
