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

// maxServiceBytes is the required maximum memory for one service address: half of the
// 64 MB of a daemon, divided by 1,800 addresses.
const maxServiceBytes = 64_000_000 / 2 / 1800

// BenchmarkBoundServiceMemory reports the memory that an idle service address costs a
// balancer, and fails above maxServiceBytes.
func BenchmarkBoundServiceMemory(b *testing.B) {
	const services = 400
	for b.Loop() {
		d := gdfixture.Deployment(services, 4)
		for i := range d.Services {
			// The services share the listen host, so each needs its own port.
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
	// The size to design for, as the users require it.
	sizeServices  = 1800
	sizeUpstreams = 4 // for each service: 7,200 of the 7,900 upstreams
	sizeAgents    = 7900
	// sessionsPerAgent is the number of sealers of one agent: one for datagrams to
	// callers, and one for packets that are forwarded to other agents.
	sessionsPerAgent = 2
	// maxControlBytes is the required maximum memory of one daemon.
	maxControlBytes = 64_000_000
)

// BenchmarkBoundMemoryAtSize measures the live memory of a balancer at the size to
// design for: the view, a socket for each service, and the sessions of all agents. It
// fails above maxControlBytes.
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
