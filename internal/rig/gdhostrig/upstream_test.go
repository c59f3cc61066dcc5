package gdhostrig

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// ignore is an observer of nothing.
type ignore struct{}

func (ignore) Observe(Event) {}

// TestEndedFlowsMakeRoom: an upstream is full of the flows that it holds. Seed 14 of
// the soak had one that counted those of the last 15 s, and refused new ones.
func TestEndedFlowsMakeRoom(t *testing.T) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	r := &Rig{loop: newLoop(t.Context()), rand: rand.New(rand.NewPCG(1, 1)), Observer: ignore{}}
	u := &Upstream{rig: r, host: &Host{at: c.LocalAddr().(*net.UDPAddr).AddrPort().Addr()}, conn: c, flows: make(map[gdflow.Key]*upstreamFlow)}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	open := func(i int) *upstreamFlow {
		p := platformsim.Packet{
			From: gdflow.AddressFrom([4]byte{127, 0, 0, 9}, uint16(1024+i)), To: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443), Flags: platformsim.Open,
		}
		u.take(now, p.Append(nil))
		return u.flows[gdflow.NewKey(p.From, p.To)]
	}
	for i := range mostFlows {
		require.NotNil(t, open(i))
	}
	require.Nil(t, open(mostFlows))
	u.over(now, open(0))
	require.NotNil(t, open(mostFlows))
}
