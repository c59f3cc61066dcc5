package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestQueriesWithoutAPacket: a query without a packet is answered from what the agent has
// observed, since there is no packet to pass to the upstream.
func TestQueriesWithoutAPacket(t *testing.T) {
	startedAt := func(at time.Time) gdguard.Header {
		h := header(1)
		h.Status.StartUnixMilli = at.UnixMilli()
		return h
	}
	const held, open, returned, opening, unobserved = 1, 2, 3, 4, 5
	for _, tc := range []struct {
		name      string
		fromStart bool
		header    gdguard.Header
		after     time.Duration
		want      gdguard.Holding // for a flow that the agent has not observed
	}{
		{"agent and upstream are new", true, header(1), 0, gdguard.Absent},
		{"agent restarted", false, header(1), 0, gdguard.Unsure},
		{"agent restarted long ago", false, header(1), 61 * time.Second, gdguard.Absent},
		{"agent restarted, upstream started earlier", false, startedAt(start.Add(-200 * time.Millisecond)), 0, gdguard.Unsure},
		{"agent restarted, upstream started later", false, startedAt(start.Add(200 * time.Millisecond)), 0, gdguard.Unsure},
		{"both started just before", false, startedAt(start.Add(-30 * time.Millisecond)), 0, gdguard.Absent},
		{"both started together, and the clocks differ", false, startedAt(start.Add(30 * time.Millisecond)), 0, gdguard.Absent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: tc.fromStart, AgentStarted: start}
			hold(t, g, start, open, 1000)
			g.UpdateStatus(start, tc.header)
			h := header(1)
			h.Forced = true
			g.HandleEntryPacket(start, entry, h, openPacket(opening))
			now := start.Add(tc.after)
			hold(t, g, now, held, 5000)
			g.HandleUpstreamPacket(now, packet(returned, gdflow.Data, 1, 1, 0))
			back := packet(returned, gdflow.Data, 1, 1, 10)
			back.Returned = true
			g.HandleUpstreamPacket(now, back)
			service := gddiscovery.ServiceHash("booking")
			require.Equal(t, gdguard.Present, g.Holding(now, service, key(held)))
			require.Equal(t, gdguard.Absent, g.Holding(now, service, key(returned)))
			require.Equal(t, tc.want, g.Holding(now, service, key(unobserved)))
			require.Equal(t, gdguard.Absent, g.Holding(now, gddiscovery.ServiceHash("gallery"), key(held)))
			if tc.after == 0 {
				require.Equal(t, gdguard.Unsure, g.Holding(now, service, key(opening)))
			}
		})
	}
}

// TestUnreportedRestartTriggersSlowStart: an upstream restarts while the store is down,
// or right after its agent. Entry hosts still report the previous process, and the
// agent must apply the slow start to the new one.
func TestUnreportedRestartTriggersSlowStart(t *testing.T) {
	const coldFor, perSecond = 4 * time.Second, 10
	first := start.Add(-time.Hour).UnixMilli()
	reported := func(revision gddiscovery.Revision, startMilli int64, left time.Duration) gdguard.Header {
		h := header(revision)
		h.Forced = true
		h.Status = gdguard.UpstreamStatus{
			Revision: revision, AcceptsNew: true, Slots: 100, ColdFlowsPerSecond: perSecond, ColdFor: coldFor, ColdLeft: left, StartUnixMilli: startMilli,
		}
		return h
	}
	for _, tc := range []struct {
		name string
		// begin prepares the agent, up to the time at which the new process responds.
		begin func(g *gdguard.Guard) time.Time
		// then is the next reported status, and limited whether the limit applies after it.
		then    gdguard.Header
		limited bool
	}{
		{"its port was closed", func(g *gdguard.Guard) time.Time {
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, reported(2, first, 0), true},
		{"its port was closed when the agent started", func(g *gdguard.Guard) time.Time {
			*g = gdguard.Guard{Service: "booking", AgentStarted: start}
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, reported(2, first, 0), true},
		{"it was silent", func(g *gdguard.Guard) time.Time {
			for i := range 4 {
				g.HandleEntryPacket(start, entry, reported(1, first, 0), openPacket(200+i))
			}
			return start.Add(time.Second)
		}, reported(2, first, 0), true},
		{"it lost a flow", func(g *gdguard.Guard) time.Time {
			g.HandleEntryPacket(start, entry, header(1), packet(1, gdflow.Data, 1, 1001, 100))
			back := packet(1, gdflow.Data, 1, 1001, 100)
			back.Returned = true
			g.HandleUpstreamPacket(start.Add(100*time.Millisecond), back)
			return start.Add(100 * time.Millisecond)
		}, reported(2, first, 0), true},
		{"the new process is reported", func(g *gdguard.Guard) time.Time {
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, reported(2, start.Add(500*time.Millisecond).UnixMilli(), 0), false},
		{"a restored source shows the process before the previous one", func(g *gdguard.Guard) time.Time {
			g.UpdateStatus(start, reported(2, first+1, 0))
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, reported(gddiscovery.NewRevision(1, 1), first, 0), true},
		{"nothing happened", func(*gdguard.Guard) time.Time { return start }, reported(2, first, 0), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			g.UpdateStatus(start, reported(1, first, 0))
			hold(t, g, start, 1, 1000)
			now := tc.begin(g)
			g.HandleEntryPacket(now, entry, tc.then, openPacket(99))
			g.HandleUpstreamPacket(now, packet(99, gdflow.Accept, 7, 1, 0))
			now = now.Add(time.Second)
			accepted := 0
			for i := range 50 {
				if only(t, g.HandleEntryPacket(now, entry, tc.then, openPacket(100+i))).Verb == gdguard.Deliver {
					accepted++
				}
				g.HandleUpstreamPacket(now, packet(100+i, gdflow.Accept, 7, 1, 0))
			}
			if tc.limited {
				require.LessOrEqual(t, accepted, perSecond)
				later := now.Add(coldFor)
				require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, tc.then, openPacket(300))).Verb, "the limit ends")
				return
			}
			require.Equal(t, 50, accepted)
		})
	}
}
