package gdfaultproxy_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdfaultproxy"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

// receiveTimeout bounds the wait for something that normally happens within milliseconds.
// absenceTimeout is how long a test waits to check that something does not happen.
const (
	receiveTimeout = 20 * time.Second
	absenceTimeout = 50 * time.Millisecond
)

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// count returns the number of datagrams that arrive, up to limit.
func count(t *testing.T, c *net.UDPConn, limit int) int {
	t.Helper()
	b := make([]byte, 10)
	for n := range limit {
		timeout := receiveTimeout
		if n == limit-1 {
			timeout = absenceTimeout
		}
		require.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
		if _, err := c.Read(b); err != nil {
			return n
		}
	}
	return limit
}

// TestDatagramProxy checks that each host receives datagrams from the proxy address of the
// other, and that each fault affects and counts the datagrams.
func TestDatagramProxy(t *testing.T) {
	a, b := listen(t), listen(t)
	network, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	defer network.Close()
	proxyAddr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(network.Addr(1, 1), port) }
	d := &gdfaultproxy.DatagramProxy{Rand: rand.New(rand.NewPCG(1, 1))}
	aProxy, bProxy := proxyAddr(addr(a).Port()), proxyAddr(addr(b).Port())
	require.NoError(t, d.Add(addr(a), aProxy))
	require.NoError(t, d.Add(addr(b), bProxy))
	send := func(n int) {
		for range n {
			_, err := a.WriteToUDPAddrPort([]byte("hello"), bProxy)
			require.NoError(t, err)
		}
	}
	send(1)
	buf := make([]byte, 10)
	require.NoError(t, b.SetReadDeadline(time.Now().Add(receiveTimeout)))
	n, from, err := b.ReadFromUDPAddrPort(buf)
	require.NoError(t, err)
	require.Equal(t, "hello", string(buf[:n]))
	require.Equal(t, aProxy, from)

	for name, tc := range map[string]struct {
		faults gdfaultproxy.DatagramFaults
		want   int
	}{
		"lost":    {gdfaultproxy.DatagramFaults{Loss: 1}, 0},
		"cut":     {gdfaultproxy.DatagramFaults{DropIn: true}, 0},
		"doubled": {gdfaultproxy.DatagramFaults{Duplication: 1}, 10},
		"late":    {gdfaultproxy.DatagramFaults{Reordering: 1}, 5},
	} {
		d.SetFaults(addr(b), tc.faults)
		send(5)
		require.Equal(t, tc.want, count(t, b, tc.want+1), name)
		require.Equal(t, 5, d.FaultCounts()[name])
	}
	d.SetFaults(addr(b), gdfaultproxy.DatagramFaults{DropOut: true})
	send(5)
	require.Equal(t, 5, count(t, b, 6), "only datagrams from the host are dropped")
	require.NoError(t, d.Remove(addr(b)))
	require.NoError(t, d.Close())
}

// TestStreamProxy checks that data of a held or delayed direction arrives after the fault
// ends, and that a reset closes the connections.
func TestStreamProxy(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	s := &gdfaultproxy.StreamProxy{Target: l.Addr().(*net.TCPAddr).AddrPort()}
	require.NoError(t, s.Listen(netip.MustParseAddrPort("127.0.0.1:0")))
	c, err := net.Dial("tcp4", s.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	echo := func(timeout time.Duration) error {
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(timeout)))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	require.NoError(t, echo(receiveTimeout))
	for _, f := range []gdfaultproxy.StreamFaults{{HoldIn: true}, {HoldOut: true}, {Delay: time.Hour}} {
		s.SetFaults(f)
		require.Error(t, echo(absenceTimeout))
		s.SetFaults(gdfaultproxy.StreamFaults{})
		require.NoError(t, echo(receiveTimeout), "held data arrives")
		require.NoError(t, c.SetReadDeadline(time.Now().Add(receiveTimeout)))
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	s.Reset()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(receiveTimeout)))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, s.Close())
}
