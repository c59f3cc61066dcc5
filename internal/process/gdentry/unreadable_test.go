package gdentry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
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
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/internal/wire/gdfeed"
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
			network, feed := claimNetwork(t), freePort(t)
			ctx, stop := context.WithCancel(t.Context())
			var g errgroup.Group
			var all []*gdentry.EntryHost
			for i := range hosts {
				at := netip.AddrPortFrom(network.Addr(1, byte(1+i)), 0)
				e := &gdentry.EntryHost{
					CallerAddress: at, HopAddress: at, FeedAddress: netip.AddrPortFrom(at.Addr(), feed), Rank: uint32(i),
					Seeds: []netip.Addr{network.Addr(1, 1), network.Addr(1, 2)}, Codec: platform.Codec{}, Scope: tally.NoopScope,
					Source: &platform.Store{Address: srv.Listener.Addr().String(), HTTP: http.DefaultClient, Eras: &gddiscovery.EraTracker{}},
				}
				all = append(all, e)
				g.Go(func() error { return e.Run(ctx) })
			}
			allAt := func(version uint64) func() bool { return func() bool { return allHave(all, version) } }
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

// slowSource transfers the full state slowly.
type slowSource struct {
	*source
	takes time.Duration
}

func (s slowSource) Load(ctx context.Context) (gddiscovery.Update, error) {
	select {
	case <-ctx.Done():
		return gddiscovery.Update{}, gddiscovery.Unreadable(ctx.Err())
	case <-time.After(s.takes):
		return s.source.Load(ctx)
	}
}

// TestSlowTransfers guards against hosts that repeat a transfer which always takes longer than its
// timeout: that of the full state from the store, and that of an update from another host.
func TestSlowTransfers(t *testing.T) {
	state := []gddiscovery.Change{config(5, gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))}
	start := func(t *testing.T, n *gdlisten.Network, feed uint16, s gdentry.Source) {
		at := netip.AddrPortFrom(n.Addr(1, 1), 0)
		e := &gdentry.EntryHost{
			CallerAddress: at, HopAddress: at, FeedAddress: netip.AddrPortFrom(at.Addr(), feed),
			Codec: platform.Codec{}, Source: s, Scope: tally.NoopScope,
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- e.Run(ctx) }()
		require.Eventually(t, func() bool { return e.State(time.Now()).Version == 5 }, eventTimeout, time.Millisecond)
		stop()
		require.NoError(t, <-ended)
	}
	t.Run("from the store", func(t *testing.T) {
		start(t, claimNetwork(t), freePort(t), slowSource{&source{changes: state, added: make(chan struct{}, 1)}, 4 * time.Second})
	})
	t.Run("from another host", func(t *testing.T) {
		n, feed := claimNetwork(t), freePort(t)
		at := netip.AddrPortFrom(n.Addr(1, 2), feed)
		serveSlowUpdates(t, at, gddiscovery.Update{Changes: state, Revision: 5, Full: true})
		beacons, err := gdfeed.EncodeBeacons(gdfeed.Beacon{Beacon: gdreaders.Beacon{Revision: 5, Reading: true}})
		require.NoError(t, err)
		c := listen(t, at.Addr(), feed)
		done := make(chan struct{})
		defer func() { <-done }()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				_, _ = c.WriteToUDPAddrPort(beacons[0], netip.AddrPortFrom(n.Addr(1, 1), feed)) // it may not listen yet
				time.Sleep(100 * time.Millisecond)
			}
		}()
		start(t, n, feed, unresponsiveSource{})
	})
}

// serveSlowUpdates serves an update whose second half comes 1.5 s after the first.
func serveSlowUpdates(t *testing.T, at netip.AddrPort, u gddiscovery.Update) {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, gdfeed.WriteUpdate(&b, u))
	l, err := net.Listen("tcp4", at.String())
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		half := b.Len() / 2
		_, _ = w.Write(b.Bytes()[:half]) // the host may have disconnected
		w.(http.Flusher).Flush()
		time.Sleep(1500 * time.Millisecond)
		_, _ = w.Write(b.Bytes()[half:])
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { require.NoError(t, srv.Close()) })
}
