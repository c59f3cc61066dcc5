package gdbalancer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// serve starts a balancer with one service, whose only agent is the counter.
func serve(t *testing.T, sockets int) (*Balancer, netip.AddrPort, *counter, []byte) {
	t.Helper()
	sink := newCounter(t)
	free, err := listen(netip.MustParseAddrPort("127.0.0.1:0"), false)
	require.NoError(t, err)
	service := free.LocalAddr().(*net.UDPAddr).AddrPort()
	free.Close()
	fleet := testFleet(t)
	v := benchView(t, service, sink.address())
	b := &Balancer{
		NodeAddress: netip.MustParseAddrPort("127.0.0.1:0"), Fleet: fleet, Config: fixedConfig{v}, Sockets: sockets,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	require.Eventually(t, func() bool { return len(b.State().Services) == 1 }, 10*time.Second, time.Millisecond)
	return b, service, sink, tokenDatagram(t, fleet, v)
}

func send(t *testing.T, to netip.AddrPort, datagrams ...[]byte) {
	t.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	defer conn.Close()
	for _, d := range datagrams {
		_, err := conn.Write(d)
		require.NoError(t, err)
	}
}

func TestSeveralSocketsServeOneAddress(t *testing.T) {
	const callers = 64
	b, service, sink, datagram := serve(t, 4)
	require.Len(t, b.callers[1].conns, 4)
	for range callers {
		send(t, service, datagram)
	}
	require.Eventually(t, func() bool { return sink.n.Load() == callers }, 10*time.Second, time.Millisecond)
}

// TestInvalidDatagramsAreDroppedAndCounted sends datagrams that no correct caller or
// agent sends.
func TestInvalidDatagramsAreDroppedAndCounted(t *testing.T) {
	b, service, sink, datagram := serve(t, 1)
	forged := append([]byte(nil), datagram...)
	forged[5] ^= 1
	send(t, service,
		[]byte{},                        // empty
		[]byte{0x40, 1, 2},              // truncated short header
		[]byte{0xc0, 0, 0, 0},           // truncated long header
		make([]byte, 1501),              // too large to be forwarded
		[]byte{0xc0, 0, 0, 0, 1, 21, 0}, // connection ID longer than QUIC allows
	)
	node := b.node.LocalAddr().(*net.UDPAddr).AddrPort()
	send(t, node, []byte("short"), make([]byte, 200), append([]byte{0xd1, 2}, make([]byte, 200)...))
	send(t, service, forged)
	want := []gdnode.Count{
		// The forged token is invalid, so the packet is routed by its key.
		{Name: "by-rank", Value: 1},
		{Name: "envelope-truncated", Value: 1},
		{Name: "envelope-format", Value: 1},
		{Name: "envelope-forged", Value: 1},
		{Name: "no-header", Value: 5},
	}
	require.Eventually(t, func() bool {
		return len(b.Counters.Snapshot()) == len(want) && sink.n.Load() == 1
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, want, b.Counters.Snapshot())
}
