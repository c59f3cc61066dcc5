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

// discardObserver is an Observer that discards events.
type discardObserver struct{}

func (discardObserver) Observe(Event) {}

// TestClosedFlowsDoNotCountTowardsLimit checks that only flows that are not closed count
// towards maxFlows. In the soak run with seed 14 an upstream counted all flows of the last
// 15 s and refused new ones.
func TestClosedFlowsDoNotCountTowardsLimit(t *testing.T) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	r := &Rig{loop: newLoop(t.Context()), rand: rand.New(rand.NewPCG(1, 1)), Observer: discardObserver{}}
	u := &Upstream{rig: r, host: &Host{addr: c.LocalAddr().(*net.UDPAddr).AddrPort().Addr()}, conn: c, flows: make(map[gdflow.Key]*upstreamFlow)}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	open := func(i int) *upstreamFlow {
		p := platformsim.Packet{
			From: gdflow.AddressFrom([4]byte{127, 0, 0, 9}, uint16(1024+i)), To: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443), Flags: platformsim.Open,
		}
		u.receive(now, p.Append(nil))
		return u.flows[gdflow.NewKey(p.From, p.To)]
	}
	for i := range maxFlows {
		require.NotNil(t, open(i))
	}
	require.Nil(t, open(maxFlows))
	u.closeFlow(now, open(0))
	require.NotNil(t, open(maxFlows))
}
