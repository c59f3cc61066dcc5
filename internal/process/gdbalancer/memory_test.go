package gdbalancer

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// maxServiceBytes is the capacity page's share for one service address: half of
// the 64 MB of a daemon, over 1,800 addresses.
const maxServiceBytes = 64_000_000 / 2 / 1800

// BenchmarkBoundServiceMemory reports what an idle service address costs a
// balancer, and fails above the share that the target leaves.
func BenchmarkBoundServiceMemory(b *testing.B) {
	const services = 400
	for b.Loop() {
		d := gdfixture.Deployment(services, 4)
		for i := range d.Services {
			// Each service has a port of its own on the listen host.
			d.Services[i].Address = fmt.Sprintf("10.9.%d.%d:%d", i/200, i%200, 20_000+i)
		}
		bal := &Balancer{
			NodeAddress: netip.MustParseAddrPort("127.0.0.1:0"), ListenHost: netip.MustParseAddr("127.0.9.9"),
			Fleet: testFleet(b), Config: fixedConfig{gdfixture.View(d)},
		}
		before := memory()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = bal.Run(ctx) })
		for bal.socket(gdconf.ServiceID(services)) == nil {
			time.Sleep(time.Millisecond)
		}
		each := float64(memory()-before) / services
		require.Len(b, bal.State().Services, services)
		cancel()
		wg.Wait()
		b.ReportMetric(each, "bytes/service")
		if each > maxServiceBytes {
			b.Fatalf("a service address costs %.0f bytes, want at most %d", each, maxServiceBytes)
		}
	}
}

// memory returns the bytes of live objects and of stacks.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

const (
	// The size to design for, from the users' letter.
	sizeServices  = 1800
	sizeUpstreams = 4 // 7,200 of the 7,900 upstreams; each service has as many
	sizeAgents    = 7900
	// sessionsPerAgent are the sealers of one agent: answers and packets that are
	// passed on.
	sessionsPerAgent = 2
	// maxControlBytes is the target for one daemon.
	maxControlBytes = 64_000_000
)

// BenchmarkBoundMemoryAtSize holds what a balancer holds at the size to design
// for: the view, a socket for each service, and the sessions of all agents. It
// fails when the live memory is above the target.
func BenchmarkBoundMemoryAtSize(b *testing.B) {
	for b.Loop() {
		before := memory()
		d := gdfixture.Deployment(sizeServices, sizeUpstreams)
		for i := range d.Services {
			d.Services[i].Address = fmt.Sprintf("10.9.%d.%d:%d", i/200, i%200, 20_000+i)
		}
		bal := &Balancer{
			NodeAddress: netip.MustParseAddrPort("127.0.0.1:0"), ListenHost: netip.MustParseAddr("127.0.9.9"),
			Fleet: testFleet(b), Config: fixedConfig{gdfixture.View(d)},
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = bal.Run(ctx) })
		for bal.socket(gdconf.ServiceID(sizeServices)) == nil {
			time.Sleep(time.Millisecond)
		}
		o := gdenvelope.NewOpener(bal.Fleet)
		for range sizeAgents * sessionsPerAgent {
			openOnce(b, o, bal.Fleet)
		}
		held := memory() - before
		require.Equal(b, sizeAgents*sessionsPerAgent, o.Sessions())
		cancel()
		wg.Wait()
		b.ReportMetric(float64(held), "bytes")
		if held > maxControlBytes {
			b.Fatalf("a balancer holds %d bytes at the size to design for, want at most %d", held, maxControlBytes)
		}
	}
}

func openOnce(tb testing.TB, o *gdenvelope.Opener, fleet gdkey.FleetKey) {
	tb.Helper()
	s, err := gdenvelope.NewSealer(fleet)
	require.NoError(tb, err)
	wire, err := s.Seal(nil, gdenvelope.Envelope{Kind: gdenvelope.ToCaller, Service: 1})
	require.NoError(tb, err)
	_, err = o.Open(wire)
	require.NoError(tb, err)
}
