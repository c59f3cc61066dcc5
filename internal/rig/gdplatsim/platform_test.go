package gdplatsim_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdplatsim"
)

// values returns the values of a deployment with one service.
func values(t *testing.T, revision uint64) []config.Value {
	v, err := config.Split(config.Deployment{
		Name: "d", Revision: revision,
		TokenKeys: []config.TokenKey{{Name: "k"}},
		Domains:   []config.Domain{{Name: "bilbao"}},
		Services: []config.Service{{
			Name: "booking", ID: 1, Address: "192.0.2.1:443", Priority: 1,
			Upstreams: []config.Upstream{{Name: "b-1", ID: 1, Domain: "bilbao", Agent: "192.0.2.2:1", Slots: 1}},
		}},
	})
	require.NoError(t, err)
	return v
}

// run serves p until the test ends.
func run(t *testing.T, p *gdplatsim.Platform) {
	require.NoError(t, p.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = p.Run(ctx) }()
}

// get reads a path and returns the status, the ETag and the body.
func get(t *testing.T, p *gdplatsim.Platform, path string) (int, string, string) {
	res, err := http.Get(p.URL() + path)
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, res.Header.Get("ETag"), string(body)
}

func TestWatchReturnsNextValue(t *testing.T) {
	p := &gdplatsim.Platform{}
	run(t, p)
	status, _, _ := get(t, p, "/v1/values/index")
	require.Equal(t, http.StatusNotFound, status)
	p.Publish(values(t, 1)...)
	_, etag, first := get(t, p, "/v1/values/index")
	watch := "/v1/values/index?after=" + url.QueryEscape(etag)
	status, _, _ = get(t, p, watch+"&wait=0.05")
	require.Equal(t, http.StatusNotModified, status)
	time.AfterFunc(50*time.Millisecond, func() { p.Publish(values(t, 2)...) })
	status, _, second := get(t, p, watch+"&wait=30")
	require.Equal(t, http.StatusOK, status)
	require.NotEqual(t, first, second)
	require.EqualValues(t, 4, p.Reads(), "a waiting watch is one read")
}

func TestFaults(t *testing.T) {
	p := &gdplatsim.Platform{}
	run(t, p)
	p.Publish(values(t, 1)...)
	_, _, first := get(t, p, "/v1/values/index")
	p.Publish(values(t, 2)...)
	_, _, second := get(t, p, "/v1/values/index")

	p.SetStale(true)
	bodies := map[string]bool{}
	for range 2 {
		_, _, body := get(t, p, "/v1/values/index")
		bodies[body] = true
	}
	require.Equal(t, map[string]bool{first: true, second: true}, bodies)
	p.SetStale(false)

	p.SetGarbage(true)
	_, _, body := get(t, p, "/v1/values/index")
	_, err := config.ParseIndex([]byte(body))
	require.Error(t, err)
	p.SetGarbage(false)

	p.SetDown(true)
	_, err = http.Get(p.URL() + "/v1/values/index") //nolint:bodyclose // an error has no body
	require.Error(t, err)
}

func TestHostListIsHiddenUntilLag(t *testing.T) {
	p := &gdplatsim.Platform{Lag: time.Hour}
	run(t, p)
	p.SetHosts([]gdplatsim.Host{{Name: "a", Role: gdplatsim.RoleBalancer}})
	_, _, body := get(t, p, "/v1/hosts")
	var list struct{ Hosts []gdplatsim.Host }
	require.NoError(t, json.Unmarshal([]byte(body), &list))
	require.Empty(t, list.Hosts)
}
