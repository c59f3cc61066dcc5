package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestReusedPortOpensNewFlow: a caller uses the port of a flow again which the agent still
// remembers, while the upstream takes no new flows. A copy of the first opening packet is
// still delivered.
func TestReusedPortOpensNewFlow(t *testing.T) {
	const first, second = 5000, 4_000_000_000
	opens := func(seq uint32) gdflow.Packet {
		p := openPacket(1)
		p.Seq = seq
		return p
	}
	for _, tt := range []struct {
		name string
		seen func(g *gdguard.Guard) // what the agent has observed of the first flow
	}{
		{"the opening packet", func(g *gdguard.Guard) {
			g.HandleEntryPacket(start, entry, header(1), opens(first))
			g.HandleUpstreamPacket(start, packet(1, gdflow.Accept, 77, first+1, 0))
		}},
		{"all of the flow", func(g *gdguard.Guard) {
			g.HandleEntryPacket(start, entry, header(1), opens(first))
			g.HandleUpstreamPacket(start, packet(1, gdflow.Accept, 77, first+1, 0))
			g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, first+1, 78, 100))
			g.HandleUpstreamPacket(start, packet(1, gdflow.Finish, 78, first+101, 100))
		}},
		{"its data only", func(g *gdguard.Guard) {
			g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, first+1, 78, 100))
			g.HandleUpstreamPacket(start, packet(1, gdflow.Data, 78, first+101, 100))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking"}
			tt.seen(g)
			now := start.Add(10 * time.Second)
			draining := header(2)
			draining.Status.AcceptsNew = false
			require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, draining, opens(first))).Verb, "a copy")
			got := only(t, g.HandleEntryPacket(now, entry, draining, opens(second)))
			require.Equal(t, gdguard.Return, got.Verb)
			require.Equal(t, gdguard.Draining, got.Reason)
			load := g.Load()
			require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, header(3), opens(second))).Verb)
			require.LessOrEqual(t, g.Load(), load+1, "the first flow no longer counts")
		})
	}
}

// TestEndedFlowShowsNoRestart: an upstream returns a request on a flow that it held, because
// the flow had ended or was idle for long. Only if neither holds has the upstream restarted,
// so that the slow start applies.
func TestEndedFlowShowsNoRestart(t *testing.T) {
	const seq, flows, perSecond = 1000, 30, 10
	for _, tt := range []struct {
		name    string
		end     func(g *gdguard.Guard)
		idle    time.Duration
		limited bool
	}{
		{"open", func(*gdguard.Guard) {}, time.Second, true},
		{"finished", func(g *gdguard.Guard) { g.HandleUpstreamPacket(start, packet(1, gdflow.Finish, seq+1, 1, 0)) }, time.Second, false},
		{"reset", func(g *gdguard.Guard) { g.HandleUpstreamPacket(start, packet(1, gdflow.Reset, seq+1, 1, 0)) }, time.Second, false},
		{"idle", func(*gdguard.Guard) {}, 15 * time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			h := header(1)
			h.Forced = true
			h.Status.Slots, h.Status.ColdFlowsPerSecond, h.Status.ColdFor = 100, perSecond, 4*time.Second
			h.Status.StartUnixMilli = start.Add(-time.Hour).UnixMilli()
			hold(t, g, start, 1, seq)
			g.UpdateStatus(start, h)
			tt.end(g)
			now := start.Add(tt.idle)
			request := packet(1, gdflow.Data, 1, seq+1, 100)
			require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, header(1), request)).Verb)
			request.Returned = true
			g.HandleUpstreamPacket(now, request)
			accepted := 0
			for i := range flows {
				if only(t, g.HandleEntryPacket(now, entry, h, openPacket(100+i))).Verb == gdguard.Deliver {
					accepted++
				}
				g.HandleUpstreamPacket(now, packet(100+i, gdflow.Accept, 7, 1, 0))
			}
			require.Equal(t, tt.limited, accepted < flows, "%d accepted", accepted)
		})
	}
}
