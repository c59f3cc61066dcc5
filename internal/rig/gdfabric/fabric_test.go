package gdfabric_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdfabric"
)

// rig is a fabric with a caller's socket and three sockets in place of balancers.
type rig struct {
	fabric    *gdfabric.Fabric
	addr      netip.AddrPort
	balancers []*net.UDPConn
	hosts     []netip.Addr
	caller    *net.UDPConn
	sent      uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{fabric: &gdfabric.Fabric{Services: []string{"booking", "gallery"}, Seed: 1}}
	require.NoError(t, r.fabric.Listen())
	r.addr = r.fabric.Addr("booking")
	var live []gdfabric.Balancer
	for i := range 3 {
		host := netip.AddrFrom4([4]byte{127, 0, 3, byte(i + 1)})
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, r.addr.Port())))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		r.balancers = append(r.balancers, conn)
		r.hosts = append(r.hosts, host)
		live = append(live, gdfabric.Balancer{Name: host.String(), Host: host})
	}
	r.fabric.SetBalancers(live)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = r.fabric.Run(ctx) }()
	var err error
	r.caller, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.caller.Close() })
	return r
}

func (r *rig) send(t *testing.T, n int) {
	for range n {
		_, err := r.caller.WriteToUDPAddrPort([]byte("x"), r.addr)
		require.NoError(t, err)
	}
	r.sent += uint64(n)
	require.Eventually(t, func() bool {
		c := r.fabric.Counts()
		return c.Sprayed+c.Dropped == r.sent
	}, 10*time.Second, time.Millisecond)
}

// drain reads up to n datagrams from the socket until the wait has passed, and returns
// the number of datagrams from each source.
func drain(conn *net.UDPConn, n int, wait time.Duration) map[netip.AddrPort]int {
	from := map[netip.AddrPort]int{}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, 2048)
	for range n {
		_, src, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			break
		}
		from[src]++
	}
	return from
}

func TestSprayReachesAllBalancersFromOneAddress(t *testing.T) {
	const packets = 60
	r := newRig(t)
	r.send(t, packets)
	sum, sources := 0, map[netip.AddrPort]bool{}
	for _, b := range r.balancers {
		got := drain(b, packets, 300*time.Millisecond)
		require.Len(t, got, 1)
		for src, n := range got {
			sum += n
			sources[src] = true
			_, err := b.WriteToUDPAddrPort([]byte("y"), src)
			require.NoError(t, err)
		}
	}
	require.Equal(t, packets, sum)
	require.Len(t, sources, 1, "all balancers must see the same caller address")
	require.Equal(t, map[netip.AddrPort]int{r.addr: 3}, drain(r.caller, 3, 10*time.Second))
}

func TestDisconnectDropsBothDirections(t *testing.T) {
	r := newRig(t)
	r.send(t, 30)
	var caller netip.AddrPort
	for src := range drain(r.balancers[0], 30, 300*time.Millisecond) {
		caller = src
	}
	for _, b := range r.balancers[1:] {
		drain(b, 30, 100*time.Millisecond)
	}
	r.fabric.Disconnect(r.hosts[0])
	r.send(t, 30)
	require.Empty(t, drain(r.balancers[0], 1, 200*time.Millisecond))
	require.NotZero(t, r.fabric.Counts().Dropped)
	dropped := r.fabric.Counts().Dropped
	_, err := r.balancers[0].WriteToUDPAddrPort([]byte("y"), caller)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.fabric.Counts().Dropped > dropped }, 10*time.Second, time.Millisecond)
	require.Zero(t, r.fabric.Counts().Answered)
	r.sent++ // the lost answer is counted as dropped
	r.fabric.Reconnect(r.hosts[0])
	r.send(t, 30)
	require.NotEmpty(t, drain(r.balancers[0], 1, 10*time.Second))
}
