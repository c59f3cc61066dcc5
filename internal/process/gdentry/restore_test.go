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
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// allHave reports whether the version of the configuration is in force on all hosts.
func allHave(hosts []*gdentry.EntryHost, version uint64) bool {
	for _, e := range hosts {
		if e.State(time.Now()).Version != version {
			return false
		}
	}
	return true
}

// TestStoreIsRestoredFromACopy: the copy lacks the latest configuration, and the next one
// gets a lower revision number. No host goes back, one that starts after the restore learns
// what the copy lacks, and the next configuration takes effect on all.
func TestStoreIsRestoredFromACopy(t *testing.T) {
	const oldHosts = 3
	store := platformsim.NewStore(time.Minute)
	srv := httptest.NewServer(store.Handler("entry"))
	defer srv.Close()
	ctx, stop := context.WithCancel(t.Context())
	callers, hop, feed := freePort(t), freePort(t), freePort(t)
	at := func(i int, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i)}), port)
	}
	var g errgroup.Group
	var hosts []*gdentry.EntryHost
	start := func(i int) {
		e := &gdentry.EntryHost{
			CallerAddress: at(i, callers), HopAddress: at(i, hop), FeedAddress: at(i, feed), Rank: uint32(i),
			Seeds: []netip.Addr{at(0, feed).Addr(), at(1, feed).Addr()}, Codec: platform.Codec{}, Scope: tally.NoopScope,
			Source: &platform.Store{Address: srv.Listener.Addr().String(), HTTP: http.DefaultClient, Eras: &gddiscovery.EraTracker{}},
		}
		hosts = append(hosts, e)
		g.Go(func() error { return e.Run(ctx) })
	}
	versions := func() []uint64 {
		var out []uint64
		for _, e := range hosts {
			out = append(out, e.State(time.Now()).Version)
		}
		return out
	}
	allAt := func(version uint64) func() bool { return func() bool { return allHave(hosts, version) } }
	put := func(version uint64) {
		store.PutConfig(time.Now(), gddiscovery.Config{
			Version: version, Services: []gddiscovery.Service{{Name: "booking"}},
			Routes: []gddiscovery.Route{{
				Name: "r", Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443), Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}},
			}},
		})
	}
	put(4)
	for i := range oldHosts {
		start(i)
	}
	require.Eventually(t, allAt(4), eventTimeout, time.Millisecond)
	copied := time.Now()
	put(5)
	store.SetDomainOut(time.Now(), "a", true)
	require.Eventually(t, allAt(5), eventTimeout, time.Millisecond)

	store.Restore(copied)
	start(oldHosts)
	require.Eventually(t, func() bool {
		for _, v := range versions()[:oldHosts] {
			require.GreaterOrEqual(t, v, uint64(5), "a configuration in effect does not go back")
		}
		s := hosts[oldHosts].State(time.Now())
		return s.Version == 5 && s.DomainsOut == 1
	}, eventTimeout, time.Millisecond)
	put(6)
	require.Eventually(t, allAt(6), eventTimeout, time.Millisecond)
	stop()
	require.NoError(t, g.Wait())
}
