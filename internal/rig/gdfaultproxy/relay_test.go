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
)

// patience is how long a test waits for what happens within milliseconds, and
// impatience how long for what is not to happen.
const (
	patience   = 20 * time.Second
	impatience = 50 * time.Millisecond
)

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// count returns how many datagrams arrive.
func count(t *testing.T, c *net.UDPConn, most int) int {
	t.Helper()
	b := make([]byte, 10)
	for n := range most {
		wait := patience
		if n == most-1 {
			wait = impatience
		}
		require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		if _, err := c.Read(b); err != nil {
			return n
		}
	}
	return most
}

// TestDatagrams: each side sees the other at the relay's address, and the faults come
// as they are set.
func TestDatagrams(t *testing.T) {
	a, b := listen(t), listen(t)
	seen := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.8"), port) }
	d := &gdfaultproxy.DatagramProxy{Rand: rand.New(rand.NewPCG(1, 1))}
	aSeen, bSeen := seen(addr(a).Port()), seen(addr(b).Port())
	require.NoError(t, d.Add(addr(a), aSeen))
	require.NoError(t, d.Add(addr(b), bSeen))
	send := func(n int) {
		for range n {
			_, err := a.WriteToUDPAddrPort([]byte("hello"), bSeen)
			require.NoError(t, err)
		}
	}
	send(1)
	buf := make([]byte, 10)
	require.NoError(t, b.SetReadDeadline(time.Now().Add(patience)))
	n, from, err := b.ReadFromUDPAddrPort(buf)
	require.NoError(t, err)
	require.Equal(t, "hello", string(buf[:n]))
	require.Equal(t, aSeen, from)

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
	require.Equal(t, 5, count(t, b, 6), "the other direction is cut")
	require.NoError(t, d.Remove(addr(b)))
	require.NoError(t, d.Close())
}

// TestStreams: a held direction keeps its bytes until it is free, and a reset ends
// the connections.
func TestStreams(t *testing.T) {
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
	echo := func(wait time.Duration) error {
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	require.NoError(t, echo(patience))
	for _, f := range []gdfaultproxy.StreamFaults{{HoldIn: true}, {HoldOut: true}, {Delay: time.Hour}} {
		s.SetFaults(f)
		require.Error(t, echo(impatience))
		s.SetFaults(gdfaultproxy.StreamFaults{})
		require.NoError(t, echo(patience), "what was held arrives")
		require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	s.Reset()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, s.Close())
}
