package gdentry_test

import (
	"context"
	"fmt"
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
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// largeConfig returns a configuration with routes that take 160 bytes each in the store.
func largeConfig(version uint64, routes int) gddiscovery.Config {
	c := gddiscovery.Config{Version: version, Services: []gddiscovery.Service{{Name: "booking"}}}
	for i := range routes {
		c.Routes = append(c.Routes, gddiscovery.Route{
			Name: fmt.Sprintf("route-%d", i), Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, uint16(1000+i)),
			Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}}, Timeout: time.Second,
		})
	}
	return c
}

// TestSeriesOfLargeConfigurations guards against hosts that repeat a watch whose answer they
// can't take: a series of large configurations is written while the store rejects all hosts.
// The store keeps its history for longer than the test waits.
func TestSeriesOfLargeConfigurations(t *testing.T) {
	const hosts = 3
	for _, tt := range []struct{ routes, changes int }{{2250, 12}, {6000, 8}} {
		t.Run(fmt.Sprintf("%d configurations of %d routes", tt.changes, tt.routes), func(t *testing.T) {
			store := platformsim.NewStore(time.Minute)
			srv := httptest.NewServer(store.Handler("entry"))
			defer srv.Close()
			store.PutConfig(time.Now(), largeConfig(1, tt.routes))
			net, feed := claimNetwork(t), freePort(t)
			ctx, stop := context.WithCancel(t.Context())
			var g errgroup.Group
			var all []*gdentry.EntryHost
			for i := range hosts {
				at := netip.AddrPortFrom(net.Addr(1, byte(1+i)), 0)
				e := &gdentry.EntryHost{
					CallerAddress: at, HopAddress: at, FeedAddress: netip.AddrPortFrom(at.Addr(), feed), Rank: uint32(i),
					Seeds: []netip.Addr{net.Addr(1, 1), net.Addr(1, 2)}, Codec: platform.Codec{}, Scope: tally.NoopScope,
					Source: &platform.Store{Address: srv.Listener.Addr().String(), HTTP: http.DefaultClient, Eras: &gddiscovery.EraTracker{}},
				}
				all = append(all, e)
				g.Go(func() error { return e.Run(ctx) })
			}
			allAt := func(version uint64) func() bool {
				return func() bool {
					for _, e := range all {
						if e.State(time.Now()).Version != version {
							return false
						}
					}
					return true
				}
			}
			require.Eventually(t, allAt(1), eventTimeout, time.Millisecond)
			store.SetFaults("", platformsim.Faults{Unavailable: true})
			last := uint64(1)
			for range tt.changes {
				last++
				store.PutConfig(time.Now(), largeConfig(last, tt.routes))
			}
			store.SetFaults("", platformsim.Faults{})
			require.Eventually(t, allAt(last), eventTimeout, time.Millisecond)
			stop()
			require.NoError(t, g.Wait())
		})
	}
}
