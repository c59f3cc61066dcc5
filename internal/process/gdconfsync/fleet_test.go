package gdconfsync_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// platformServer serves the values of one deployment over HTTP.
type platformServer struct {
	values atomic.Pointer[map[string][]byte]
}

func (p *platformServer) publish(t *testing.T, d config.Deployment) {
	t.Helper()
	values, err := config.Split(d)
	require.NoError(t, err)
	m := map[string][]byte{}
	for _, v := range values {
		m[v.Key()] = v.Data()
	}
	p.values.Store(&m)
}

func (p *platformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/")
	data, present := (*p.values.Load())[key]
	if !ok || !present {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", config.Digest(data))
	_, _ = w.Write(data)
}

// TestFleetAgreesOverLoopback runs the core, the TLS transport and the platform client
// together. Only the first process reaches the platform.
func TestFleetAgreesOverLoopback(t *testing.T) {
	const size = 3
	id, err := gdpeer.NewIdentity(make([]byte, gdpeer.SeedBytes))
	require.NoError(t, err)
	var listeners []net.Listener
	var members []gdsync.Member
	d := config.Deployment{
		Name: "rejilla-norte", Revision: 1, TokenKeys: []config.TokenKey{{Name: "2026-12"}},
		Domains:  []config.Domain{{Name: "bilbao"}},
		Services: []config.Service{{Name: "booking", ID: 1, Address: "192.0.2.10:443", Priority: 1}},
	}
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		name := "booking-" + string(rune('1'+i))
		members = append(members, gdsync.NewMember(name, l.Addr().String()))
		d.Services[0].Upstreams = append(d.Services[0].Upstreams, config.Upstream{
			Name: name, ID: uint32(101 + i), Domain: "bilbao", Agent: l.Addr().String(), Slots: 3,
		})
	}
	platform := &platformServer{}
	platform.publish(t, d)
	web := httptest.NewServer(platform)
	defer web.Close()

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var fleet []*gdconfsync.Syncer
	for i := range size {
		client := &gdplatform.Client{URL: web.URL, ETagKeys: []string{config.IndexKey}}
		if i > 0 {
			client.URL = "http://127.0.0.1:1" // nothing listens there
		}
		s := &gdconfsync.Syncer{Name: members[i].Name(), Seed: uint64(i), Seeds: members, Platform: client}
		dialer := &gdpeer.Dialer{Identity: id, Name: s.Name, Version: s.Version}
		s.Peers = dialer
		srv := &gdpeer.Server{Identity: id, Config: s}
		wg.Go(func() { s.Run(ctx); dialer.Close() })
		wg.Go(func() { _ = srv.Serve(ctx, listeners[i]) })
		fleet = append(fleet, s)
	}
	defer wg.Wait()
	defer cancel()
	agreed := func(revision uint64) func() bool {
		return func() bool {
			for _, s := range fleet {
				if s.Version() != fleet[0].Version() || s.Version().Revision() != revision || !s.MayDecide(time.Now()) {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, agreed(1), time.Minute, 10*time.Millisecond)
	d.Revision = 2
	d.Services[0].DrainSeconds = 5
	platform.publish(t, d)
	require.Eventually(t, agreed(2), time.Minute, 10*time.Millisecond)
}
