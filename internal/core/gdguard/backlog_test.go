package gdguard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// objective is that of the route of key.
const objective = 200 * time.Millisecond

// kept is the flow whose request is kept back in these tests, and first is its first data.
const kept = 4

func first() gdflow.Packet { return packet(kept, gdflow.Data, 1, 8, 900) }

// backlogged returns a guard of an upstream with three slots and four requests in progress,
// on flows 0 to 3. The flow kept is open and has sent nothing.
func backlogged(t *testing.T) *gdguard.Guard {
	t.Helper()
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	h := header(1)
	h.Class = gdguard.RouteClass{Objective: objective, Timeout: time.Second, Priority: 2}
	for i := range kept + 1 {
		hold(t, g, start, i, 7)
	}
	g.HandleEntryPacket(start, entry, h, openPacket(99)) // it is refused, and its class is known
	for i := range kept {
		require.Equal(t, "deliver", trace(g.HandleEntryPacket(start, entry, header(1), packet(i, gdflow.Data, 1, 8, 100))))
	}
	return g
}

// trace describes actions, with the number of a kept packet.
func trace(actions []gdguard.Action) string {
	names := map[gdguard.Verb]string{
		gdguard.Deliver: "deliver", gdguard.SendToCaller: "send", gdguard.Return: "return", gdguard.Drop: "drop",
		gdguard.Reset: "reset", gdguard.Keep: "keep", gdguard.ReportAccepted: "accepted", gdguard.ReportHeld: "held",
	}
	var words []string
	for _, a := range actions {
		if w := names[a.Verb]; a.Kept != 0 {
			words = append(words, fmt.Sprint(w, " ", a.Kept))
		} else {
			words = append(words, w)
		}
	}
	return strings.Join(words, ", ")
}

// TestKeptRequest: the load is one request more than the slots and the additional one bear,
// and one thing happens to the flow whose request is kept.
func TestKeptRequest(t *testing.T) {
	fromCaller := func(p gdflow.Packet) func(*gdguard.Guard) []gdguard.Action {
		return func(g *gdguard.Guard) []gdguard.Action { return g.HandleEntryPacket(start, other, header(1), p) }
	}
	fromUpstream := func(p gdflow.Packet) func(*gdguard.Guard) []gdguard.Action {
		return func(g *gdguard.Guard) []gdguard.Action { return g.HandleUpstreamPacket(start, p) }
	}
	tick := func(after time.Duration) func(*gdguard.Guard) []gdguard.Action {
		return func(g *gdguard.Guard) []gdguard.Action { return g.Tick(start.Add(after)) }
	}
	returned := first()
	returned.Returned = true
	tests := []struct {
		name  string
		do    func(*gdguard.Guard) []gdguard.Action
		want  string
		cause gdguard.Cause
		load  int
	}{
		{"a request ends", fromUpstream(packet(0, gdflow.Data, 8, 101, 300)), "send, deliver 1", gdguard.SlotFree, 4},
		{"the bound is not reached", tick(objective/4 - 1), "", 0, 5},
		{"the bound is reached", tick(objective / 4), "deliver 1", gdguard.BoundReached, 5},
		{"acknowledgement", fromCaller(packet(kept, gdflow.Data, 901, 8, 0)), "deliver", 0, 5},
		{"copy", fromCaller(first()), "drop", 0, 5},
		{"more data", fromCaller(packet(kept, gdflow.Data, 901, 8, 900)), "keep 2", 0, 5},
		{"caller finishes", fromCaller(packet(kept, gdflow.Finish, 901, 8, 0)), "keep 2", 0, 5},
		{"caller resets", fromCaller(packet(kept, gdflow.Reset, 901, 8, 0)), "drop 1, deliver", gdguard.FlowEnded, 4},
		{"upstream acknowledges", fromUpstream(packet(kept, gdflow.Data, 8, 1, 0)), "send", 0, 5},
		{"upstream sends an earlier answer again", fromUpstream(packet(kept, gdflow.Data, 8, 1, 300)), "send", 0, 5},
		{"upstream finishes", fromUpstream(packet(kept, gdflow.Finish, 8, 1, 0)), "send, deliver 1", gdguard.FlowEnded, 5},
		{"upstream resets", fromUpstream(packet(kept, gdflow.Reset, 8, 1, 0)), "send, deliver 1", gdguard.FlowEnded, 5},
		{"upstream returns a packet", fromUpstream(returned), "return, return 1", gdguard.FlowLost, 4},
		{
			"upstream exits", func(g *gdguard.Guard) []gdguard.Action { return g.HandleUpstreamExit(start) },
			"reset, reset, reset, reset, reset, drop 1", gdguard.UpstreamExited, 0,
		},
		{
			"agent stops",
			func(g *gdguard.Guard) []gdguard.Action { g.Leave(); return g.Tick(start) },
			"deliver 1", gdguard.Stopping, 5,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := backlogged(t)
			var causes []gdguard.Cause
			g.OnRelease = func(_ time.Time, r gdguard.Release) { causes = append(causes, r.Cause) }
			require.Equal(t, "keep 1", trace(fromCaller(first())(g)))
			require.Equal(t, start.Add(objective/4), g.NextTick())
			require.Equal(t, tt.want, trace(tt.do(g)))
			require.Equal(t, tt.load, g.Load())
			if g.Kept() == 0 {
				require.Equal(t, []gdguard.Cause{tt.cause}, causes)
				require.Zero(t, g.NextTick())
				require.Empty(t, g.Tick(start.Add(objective)), "nothing is delivered twice")
			}
		})
	}
}

// TestKeptPacketsStayInOrder: packets of a kept request that arrive out of order are
// delivered in the order of their arrival, and copies that come later pass.
func TestKeptPacketsStayInOrder(t *testing.T) {
	g := backlogged(t)
	require.Equal(t, "keep 1", trace(g.HandleEntryPacket(start, entry, header(1), packet(kept, gdflow.Data, 901, 8, 900))))
	require.Equal(t, "keep 2", trace(g.HandleEntryPacket(start, entry, header(1), first())))
	require.Equal(t, "keep 3", trace(g.HandleEntryPacket(start, entry, header(1), packet(kept, gdflow.Finish, 1801, 8, 0))))
	require.Equal(t, "deliver 1, deliver 2, deliver 3", trace(g.Tick(start.Add(objective/4))))
	require.Equal(t, "deliver", trace(g.HandleEntryPacket(start, entry, header(1), first())))
}

// TestLateTickKeepsTheOrder: the timer fires after the bounds of two kept requests. They are
// delivered in the order of their arrival.
func TestLateTickKeepsTheOrder(t *testing.T) {
	g := backlogged(t)
	hold(t, g, start, kept+1, 7)
	h := header(1)
	h.Class = gdguard.RouteClass{Objective: objective, Timeout: time.Second, Priority: 2}
	g.HandleEntryPacket(start, entry, h, openPacket(99)) // it is refused, and the class is known again
	g.HandleEntryPacket(start, entry, header(1), first())
	g.HandleEntryPacket(start.Add(time.Millisecond), entry, header(1), packet(kept+1, gdflow.Data, 1, 8, 900))
	require.Equal(t, 2, g.Kept())
	require.Equal(t, "deliver 1, deliver 2", trace(g.Tick(start.Add(objective))))
}

// TestNotKept: the load is that of TestKeptRequest, and the packet may belong to a request
// that has begun, or nothing is known of its route.
func TestNotKept(t *testing.T) {
	deliver := func(g *gdguard.Guard, p gdflow.Packet) {
		require.Equal(t, "deliver", trace(g.HandleEntryPacket(start, entry, header(1), p)))
	}
	t.Run("further data of a request in progress", func(t *testing.T) {
		deliver(backlogged(t), packet(0, gdflow.Data, 101, 8, 100))
	})
	t.Run("the rest of an upload that was answered early", func(t *testing.T) {
		g := backlogged(t)
		g.HandleUpstreamPacket(start, packet(0, gdflow.Data, 8, 101, 300))
		deliver(g, packet(kept, gdflow.Data, 1, 8, 900))
		deliver(g, packet(0, gdflow.Data, 101, 8, 100))
	})
	t.Run("a flow that the agent has not seen from its start", func(t *testing.T) {
		g := backlogged(t)
		g.HandleUpstreamPacket(start, packet(50, gdflow.Data, 8, 1, 300))
		deliver(g, packet(50, gdflow.Data, 1, 308, 100))
	})
	t.Run("the class of the route is not known", func(t *testing.T) {
		g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
		for i := range kept + 1 {
			hold(t, g, start, i, 7)
			deliver(g, packet(i, gdflow.Data, 1, 8, 100))
		}
	})
	t.Run("the agent is shutting down", func(t *testing.T) {
		g := backlogged(t)
		g.Leave()
		deliver(g, first())
	})
}

// TestBacklogOverflow: one caller sends packets without end on a flow whose request is
// kept. When the backlog is full, it is delivered.
func TestBacklogOverflow(t *testing.T) {
	g := backlogged(t)
	for i := range uint32(1000) {
		actions := g.HandleEntryPacket(start, entry, header(1), packet(kept, gdflow.Data, 1+i*1200, 8, 1200))
		if g.Kept() == 0 {
			require.Equal(t, uint32(436), i, "512 kB")
			require.Len(t, actions, int(i)+1)
			require.Equal(t, uint64(1), actions[0].Kept)
			require.Zero(t, actions[i].Kept, "the packet at hand is the last one")
			return
		}
	}
	t.Fatal("no overflow")
}

// TestKeptRequestOfEvictedFlow: more flows arrive than the cache holds while a request is
// kept. It is delivered at the next call.
func TestKeptRequestOfEvictedFlow(t *testing.T) {
	g := backlogged(t)
	g.HandleEntryPacket(start, entry, header(1), first())
	var got []string
	for i := range 1 << 15 {
		got = append(got, trace(g.HandleUpstreamPacket(start, packet(100+i, gdflow.Accept, 7, 1, 0))))
		if g.Kept() == 0 {
			break
		}
	}
	require.Zero(t, g.Kept())
	require.Contains(t, got[len(got)-1], "deliver 1")
	require.Empty(t, g.Tick(start.Add(objective)))
}

// TestRequestsOnOpenFlowsDoNotAllocate: data on known flows while there is room.
func TestRequestsOnOpenFlowsDoNotAllocate(t *testing.T) {
	g := backlogged(t)
	g.HandleUpstreamPacket(start, packet(0, gdflow.Data, 8, 101, 300))
	seq, ack := uint32(101), uint32(308)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g.HandleEntryPacket(start, entry, header(1), packet(0, gdflow.Data, seq, ack, 100))
		g.HandleUpstreamPacket(start, packet(0, gdflow.Data, ack, seq+100, 300))
		seq, ack = seq+100, ack+300
	}))
}
