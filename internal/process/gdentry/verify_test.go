package gdentry_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/platform"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// lateWatchSource answers a watch that waits for changes only when it has ended, and with none.
type lateWatchSource struct{ *source }

func (s lateWatchSource) Watch(ctx context.Context, after gddiscovery.Revision, wait time.Duration) (gddiscovery.Update, error) {
	if wait < 10*time.Millisecond {
		return s.source.Watch(ctx, after, wait)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return gddiscovery.Update{}, ctx.Err()
	case <-t.C:
		return gddiscovery.Update{Revision: after}, nil
	}
}

// TestLateHostAsksBeforeItResets: an entry host that has not heard yet of a configuration asks the source
// before it resets a flow on a route that it does not know.
func TestLateHostAsksBeforeItResets(t *testing.T) {
	for _, tc := range []struct {
		name  string
		added bool // the source has the route
	}{{"the route is new", true}, {"there is no route", false}} {
		t.Run(tc.name, func(t *testing.T) {
			d := deploy(t)
			d.openFlow()
			at := func(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(d.network.Addr(1, 4), a.Port()) }
			late := lateWatchSource{&source{added: make(chan struct{}, 1)}}
			d.source.mu.Lock()
			late.changes = append(late.changes, config(1, gdflow.AddressFrom([4]byte{198, 18, 0, 9}, 443)), d.source.changes[1])
			d.source.mu.Unlock()
			second := &gdentry.EntryHost{
				CallerAddress: at(d.entry.CallerAddress), HopAddress: at(d.entry.HopAddress), FeedAddress: at(d.entry.FeedAddress),
				Codec: platform.Codec{}, Source: late, Scope: tally.NoopScope,
			}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- second.Run(ctx) }()
			require.Eventually(t, second.Ready, eventTimeout, time.Millisecond)
			if tc.added {
				late.mu.Lock()
				late.changes = append(late.changes, config(3, d.key.Service()))
				late.mu.Unlock()
			}
			_, err := d.caller.WriteToUDPAddrPort(d.packet(true, ack, 18, 1001, "more"), second.CallerAddress)
			require.NoError(t, err)
			if tc.added {
				require.Equal(t, d.packet(true, ack, 18, 1001, "more"), d.read(d.upstream))
			} else {
				require.Equal(t, byte(rst), d.read(d.caller)[30])
			}
			stop()
			require.NoError(t, <-ended)
			d.stop()
			require.NoError(t, <-d.ended)
		})
	}
}

// countingSource counts the watches that don't wait.
type countingSource struct {
	lateWatchSource
	verifications *atomic.Int32
}

func (s countingSource) Watch(ctx context.Context, after gddiscovery.Revision, wait time.Duration) (gddiscovery.Update, error) {
	if wait < 10*time.Millisecond {
		s.verifications.Add(1)
	}
	return s.lateWatchSource.Watch(ctx, after, wait)
}

// TestVerificationsAreLimited: packets without a route that come all the time don't lead to a call to the
// source each.
func TestVerificationsAreLimited(t *testing.T) {
	const interval, duration = 20 * time.Millisecond, 500 * time.Millisecond
	network := claimNetwork(t)
	caller := listen(t, network.Addr(1, 3), 0)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(network.Addr(1, 1), port) }
	s := countingSource{lateWatchSource{&source{added: make(chan struct{}, 1)}}, &atomic.Int32{}}
	s.changes = append(s.changes, config(1, gdflow.AddressFrom([4]byte{198, 18, 0, 9}, 443)))
	e := &gdentry.EntryHost{
		CallerAddress: at(portOf(caller)), HopAddress: at(freePort(t)), FeedAddress: at(freePort(t)),
		Codec: platform.Codec{}, Source: s, Scope: tally.NoopScope,
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	require.Eventually(t, e.Ready, eventTimeout, time.Millisecond)
	began, before := time.Now(), s.verifications.Load()
	for port := uint16(1024); time.Since(began) < duration; port++ {
		p := platformsim.Packet{
			From: gdflow.AddressFrom(network.Addr(1, 3).As4(), port), To: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443), Flags: ack, Data: []byte("x"),
		}
		_, err := caller.WriteToUDPAddrPort(p.Append(nil), e.CallerAddress)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	n := s.verifications.Load() - before
	require.Positive(t, n)
	require.LessOrEqual(t, n, int32(took/interval)+2)
	stop()
	require.NoError(t, <-ended)
}
