package gdbalancer

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdbatch"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

const (
	// datagramSize is the size of a caller's full QUIC packet, in bytes.
	datagramSize = 1200
	// minForwardRatio is the required minimum rate of forwarding, as a part of the rate
	// of a bare relay loop.
	minForwardRatio = 0.7
	// maxDecisionShare is the required maximum cost of a decision, as a part of the
	// cost of forwarding a packet.
	maxDecisionShare = 0.1
)

type fixedConfig struct{ view *gdconf.View }

func (c fixedConfig) View() *gdconf.View                      { return c.view }
func (fixedConfig) MayDecide(time.Time) bool                  { return true }
func (fixedConfig) ObservePeerVersion(string, gdconf.Version) {}

func testFleet(tb testing.TB) gdkey.FleetKey {
	tb.Helper()
	f, err := gdkey.Parse(strings.Repeat("5a", gdkey.Size))
	require.NoError(tb, err)
	return f
}

// counter is a socket that counts the datagrams that it receives.
type counter struct {
	conn *net.UDPConn
	n    atomic.Int64
}

func newCounter(tb testing.TB) *counter {
	tb.Helper()
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(tb, err)
	c := &counter{conn: conn}
	go func() {
		r := gdbatch.NewReader(conn, gdenvelope.MaxSize)
		for {
			n, err := r.Read()
			if err != nil {
				return
			}
			c.n.Add(int64(n))
		}
	}()
	tb.Cleanup(func() { conn.Close() })
	return c
}

func (c *counter) address() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// benchView returns a view with one service and one agent at the given addresses.
func benchView(tb testing.TB, service, agent netip.AddrPort) *gdconf.View {
	tb.Helper()
	v, err := gdconf.New(config.Deployment{
		Name: "bench", Revision: 1,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "first"}},
		Domains:   []config.Domain{{Name: "north"}},
		Services: []config.Service{{
			Name: "booking", ID: 1, Address: service.String(), Priority: 1,
			Upstreams: []config.Upstream{{Name: "booking-1", ID: 101, Domain: "north", Agent: agent.String(), Slots: 3}},
		}},
	})
	require.NoError(tb, err)
	return v
}

// tokenDatagram returns a short-header packet that carries a valid token.
func tokenDatagram(tb testing.TB, fleet gdkey.FleetKey, v *gdconf.View) []byte {
	tb.Helper()
	keyring, err := gdnode.DeriveKeyring(fleet, v.Deployment().TokenKeys)
	require.NoError(tb, err)
	cid := gdtoken.NewSealer(keyring).Seal(gdtoken.New(1, 101, 7, 1))
	b := make([]byte, datagramSize)
	b[0] = 0x40
	copy(b[1:], cid[:])
	return b
}

// newBenchReader returns a reader that forwards to the counter, and a datagram for it.
func newBenchReader(tb testing.TB, sink *counter) (*callerReader, []byte) {
	tb.Helper()
	fleet := testFleet(tb)
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(tb, err)
	node, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(tb, err)
	tb.Cleanup(func() { conn.Close(); node.Close() })
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	v := benchView(tb, addr, sink.address())
	b := &Balancer{Fleet: fleet, Config: fixedConfig{v}, node: node}
	r, err := newCallerReader(b, conn, addr, 1)
	require.NoError(tb, err)
	return r, tokenDatagram(tb, fleet, v)
}

// relay is the baseline: a loop that copies batches from one socket to another.
func relay(in, out *net.UDPConn, to netip.AddrPort) {
	r := gdbatch.NewReader(in, gdenvelope.MaxSize)
	w := gdbatch.NewWriter(out, gdenvelope.MaxSize)
	for {
		n, err := r.Read()
		if err != nil {
			return
		}
		for i := range n {
			data, _ := r.At(i)
			w.Queue(append(w.Buffer(), data...), to)
		}
		w.Flush()
	}
}

// measured is the result of a flood.
type measured struct {
	// offered and arrived are datagrams a second.
	offered, arrived float64
}

// flood sends to the address for 300 ms and returns the rates of sent datagrams and of
// those that reached the counter.
func flood(tb testing.TB, to netip.AddrPort, datagram []byte, sink *counter) measured {
	tb.Helper()
	const window = 300 * time.Millisecond
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(tb, err)
	defer conn.Close()
	w := gdbatch.NewWriter(conn, gdenvelope.MaxSize)
	start, before, sent := time.Now(), sink.n.Load(), 0
	for time.Since(start) < window {
		for range gdbatch.Size {
			w.Queue(append(w.Buffer(), datagram...), to)
			sent++
		}
	}
	arrived, seconds := sink.n.Load()-before, time.Since(start).Seconds()
	return measured{offered: float64(sent) / seconds, arrived: float64(arrived) / seconds}
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}

// BenchmarkBoundForward compares the rate of forwarding with that of a bare relay loop
// in the same run, and fails below minForwardRatio.
func BenchmarkBoundForward(b *testing.B) {
	sink := newCounter(b)
	r, datagram := newBenchReader(b, sink)
	go r.run()
	in, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(b, err)
	defer in.Close()
	go relay(in, r.b.node, sink.address())
	var ratios, offered, forwarded []float64
	for b.Loop() {
		bare := flood(b, in.LocalAddr().(*net.UDPAddr).AddrPort(), datagram, sink)
		own := flood(b, r.address, datagram, sink)
		ratios = append(ratios, own.arrived/bare.arrived)
		offered = append(offered, own.offered)
		forwarded = append(forwarded, own.arrived)
	}
	ratio := median(ratios)
	b.ReportMetric(median(offered), "offered/s")
	b.ReportMetric(ratio, "of-relay")
	b.ReportMetric(median(forwarded), "datagrams/s")
	if ratio < minForwardRatio {
		b.Fatalf("forwarding reaches %.2f of a bare relay loop, want %.2f", ratio, minForwardRatio)
	}
}

// BenchmarkBoundDecision compares the cost of a decision with that of forwarding the
// packet. It fails if the decision allocates or costs more than maxDecisionShare.
func BenchmarkBoundDecision(b *testing.B) {
	sink := newCounter(b)
	r, datagram := newBenchReader(b, sink)
	now := time.Now()
	caller := netip.MustParseAddrPort("127.0.0.1:4433")
	r.updateView(now)
	decide := func() {
		p, _ := r.parsePacket(caller, datagram)
		r.core.Route(now, p)
	}
	if n := testing.AllocsPerRun(1000, decide); n > 0 {
		b.Fatalf("the decision allocates %.0f times", n)
	}
	const rounds = 20_000
	var decision, forward time.Duration
	for b.Loop() {
		begin := time.Now()
		for range rounds {
			decide()
		}
		middle := time.Now()
		for range rounds {
			r.forward(now, caller, datagram)
		}
		r.out.Flush()
		decision += middle.Sub(begin)
		forward += time.Since(middle)
	}
	share := float64(decision) / float64(forward)
	b.ReportMetric(share, "of-forward")
	b.ReportMetric(float64(decision.Nanoseconds())/float64(b.N*rounds), "ns/decision")
	if share > maxDecisionShare {
		b.Fatalf("the decision costs %s of forwarding, want at most %.2f", fmt.Sprintf("%.3f", share), maxDecisionShare)
	}
}
