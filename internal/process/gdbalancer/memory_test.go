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
	"godwitdrift.example/godwitdrift/internal/core/gdfix"
)

// maxServiceBytes is the capacity page's share for one service address: half of
// the 64 MB of a daemon, over 1,800 addresses.
const maxServiceBytes = 64_000_000 / 2 / 1800

// BenchmarkBoundServiceMemory reports what an idle service address costs a
// balancer, and fails above the share that the target leaves.
func BenchmarkBoundServiceMemory(b *testing.B) {
	const services = 400
	for b.Loop() {
		d := gdfix.Deployment(services, 4)
		for i := range d.Services {
			// Each service has a port of its own on the listen host.
			d.Services[i].Address = fmt.Sprintf("10.9.%d.%d:%d", i/200, i%200, 20_000+i)
		}
		bal := &Balancer{
			NodeAddress: netip.MustParseAddrPort("127.0.0.1:0"), ListenHost: netip.MustParseAddr("127.0.9.9"),
			Fleet: testFleet(b), Config: fixedConfig{gdfix.View(d)},
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
