package gdentry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// storeHosts are entry hosts that follow a simulated store until the test ends.
type storeHosts struct {
	store              *platformsim.Store
	hosts              []*gdentry.EntryHost
	server             *httptest.Server
	network            *gdlisten.Network
	callers, hop, feed uint16
	ctx                context.Context
	group              errgroup.Group
}

func newStoreHosts(t *testing.T) *storeHosts {
	t.Helper()
	s := &storeHosts{
		store: platformsim.NewStore(time.Minute), network: claimNetwork(t),
		callers: freePort(t), hop: freePort(t), feed: freePort(t),
	}
	s.server = httptest.NewServer(s.store.Handler("entry"))
	t.Cleanup(s.server.Close)
	ctx, stop := context.WithCancel(context.Background())
	s.ctx = ctx
	t.Cleanup(func() {
		stop()
		require.NoError(t, s.group.Wait())
	})
	return s
}

func (s *storeHosts) at(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(s.network.Addr(1, byte(1+i)), port)
}

// start starts one more host.
func (s *storeHosts) start() {
	i := len(s.hosts)
	e := &gdentry.EntryHost{
		CallerAddress: s.at(i, s.callers), HopAddress: s.at(i, s.hop), FeedAddress: s.at(i, s.feed), Rank: uint32(i),
		Seeds: []netip.Addr{s.at(0, s.feed).Addr(), s.at(1, s.feed).Addr()}, Codec: platform.Codec{}, Scope: tally.NoopScope,
		Source: &platform.Store{Address: s.server.Listener.Addr().String(), HTTP: http.DefaultClient, Eras: &gddiscovery.EraTracker{}},
	}
	s.hosts = append(s.hosts, e)
	s.group.Go(func() error { return e.Run(s.ctx) })
}

// configure writes a configuration with one route.
func (s *storeHosts) configure(version uint64) {
	s.store.PutConfig(time.Now(), gddiscovery.Config{
		Version: version, Services: []gddiscovery.Service{{Name: "booking"}},
		Routes: []gddiscovery.Route{{
			Name: "r", Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443), Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}},
		}},
	})
}
