package gdagent

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// TestSpoofedCallersEvictNoPath floods the agent with first packets from spoofed
// addresses. The path to a caller with an established flow must not be evicted.
func TestSpoofedCallersEvictNoPath(t *testing.T) {
	const size = 8
	fleet, err := gdkey.Parse(strings.Repeat("5a", gdkey.Size))
	require.NoError(t, err)
	sealer, err := gdenvelope.NewSealer(fleet)
	require.NoError(t, err)
	node, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer node.Close()
	balancer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer balancer.Close()
	c := newCallerConn(node, sealer, size, 1)
	c.counters = new(gdnode.Counters)
	c.service = func() (gdconf.ServiceID, gdconf.Version, bool) { return 1, gdconf.Version{}, true }
	now := time.Unix(1_800_000_000, 0)
	deliver := func(port uint16, established bool) {
		e := gdenvelope.Envelope{
			Caller:   netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), port),
			Balancer: balancer.LocalAddr().(*net.UDPAddr).AddrPort(),
		}
		c.deliver(now, e, gdnode.GetBuffer(), established)
	}
	deliver(1, true)
	for port := range uint16(10 * size) {
		deliver(100+port, false)
	}
	require.NoError(t, c.send(now, netip.MustParseAddrPort("192.0.2.7:1"), []byte("answer")))
	require.NoError(t, balancer.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, _, err = balancer.ReadFromUDPAddrPort(make([]byte, gdenvelope.MaxSize))
	require.NoError(t, err, "the response is sent")
}
