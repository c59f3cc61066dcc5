package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestAskedWithoutAPacket: what the agent can say about a flow by itself.
func TestAskedWithoutAPacket(t *testing.T) {
	born := func(at time.Time) gdguard.Header {
		c := carry(1)
		c.Status.StartUnixMilli = at.UnixMilli()
		return c
	}
	const here, open, returned, opening, strange = 1, 2, 3, 4, 5
	for _, tc := range []struct {
		name  string
		fresh bool
		carry gdguard.Header
		after time.Duration
		want  gdguard.Holding // about a flow that the agent has not seen
	}{
		{"agent and upstream are fresh", true, carry(1), 0, gdguard.Absent},
		{"agent started again", false, carry(1), 0, gdguard.Unsure},
		{"agent started again long ago", false, carry(1), 61 * time.Second, gdguard.Absent},
		{"agent started again, upstream earlier", false, born(start.Add(-200 * time.Millisecond)), 0, gdguard.Unsure},
		{"agent started again, upstream later", false, born(start.Add(200 * time.Millisecond)), 0, gdguard.Unsure},
		{"both started just before", false, born(start.Add(-30 * time.Millisecond)), 0, gdguard.Absent},
		{"both started at once by a clock that is off", false, born(start.Add(30 * time.Millisecond)), 0, gdguard.Absent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: tc.fresh, AgentStarted: start}
			hold(t, g, start, open, 1000)
			g.UpdateStatus(start, tc.carry)
			c := carry(1)
			c.Forced = true
			g.HandleEntryPacket(start, entry, c, openPacket(opening))
			now := start.Add(tc.after)
			hold(t, g, now, here, 5000)
			g.HandleUpstreamPacket(now, packet(returned, gdflow.Data, 1, 1, 0))
			back := packet(returned, gdflow.Data, 1, 1, 10)
			back.Returned = true
			g.HandleUpstreamPacket(now, back)
			service := gddiscovery.ServiceHash("booking")
			require.Equal(t, gdguard.Present, g.Holding(now, service, key(here)))
			require.Equal(t, gdguard.Absent, g.Holding(now, service, key(returned)))
			require.Equal(t, tc.want, g.Holding(now, service, key(strange)))
			require.Equal(t, gdguard.Absent, g.Holding(now, gddiscovery.ServiceHash("gallery"), key(here)))
			if tc.after == 0 {
				require.Equal(t, gdguard.Unsure, g.Holding(now, service, key(opening)))
			}
		})
	}
}

// TestStartThatNobodyTells is the pattern of an upstream that starts again while the
// store is down, or right after its agent: entry hosts speak of the process before it,
// and the agent bounds what the new one gets while it is cold.
func TestStartThatNobodyTells(t *testing.T) {
	const coldFor, perSecond = 4 * time.Second, 10
	first := start.Add(-time.Hour).UnixMilli()
	told := func(revision uint64, born int64, left time.Duration) gdguard.Header {
		c := carry(revision)
		c.Forced = true
		c.Status = gdguard.UpstreamStatus{
			Revision: revision, AcceptsNew: true, Slots: 100, ColdFlowsPerSecond: perSecond, ColdFor: coldFor, ColdLeft: left, StartUnixMilli: born,
		}
		return c
	}
	for _, tc := range []struct {
		name string
		// begin brings the agent to the moment at which the new process speaks.
		begin func(g *gdguard.Guard) time.Time
		// then is what it is told next, and bound whether the bound holds after it.
		then  gdguard.Header
		bound bool
	}{
		{"its port was closed", func(g *gdguard.Guard) time.Time {
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, told(2, first, 0), true},
		{"its port was closed when the agent started", func(g *gdguard.Guard) time.Time {
			*g = gdguard.Guard{Service: "booking", AgentStarted: start}
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, told(2, first, 0), true},
		{"it was silent", func(g *gdguard.Guard) time.Time {
			for i := range 4 {
				g.HandleEntryPacket(start, entry, told(1, first, 0), openPacket(200+i))
			}
			return start.Add(time.Second)
		}, told(2, first, 0), true},
		{"it has lost a flow", func(g *gdguard.Guard) time.Time {
			g.HandleEntryPacket(start, entry, carry(1), packet(1, gdflow.Data, 1, 1001, 100))
			back := packet(1, gdflow.Data, 1, 1001, 100)
			back.Returned = true
			g.HandleUpstreamPacket(start.Add(100*time.Millisecond), back)
			return start.Add(100 * time.Millisecond)
		}, told(2, first, 0), true},
		{"the new process is told", func(g *gdguard.Guard) time.Time {
			g.HandleUpstreamExit(start)
			return start.Add(time.Second)
		}, told(2, start.Add(500*time.Millisecond).UnixMilli(), 0), false},
		{"nothing happened", func(*gdguard.Guard) time.Time { return start }, told(2, first, 0), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			g.UpdateStatus(start, told(1, first, 0))
			hold(t, g, start, 1, 1000)
			now := tc.begin(g)
			g.HandleEntryPacket(now, entry, tc.then, openPacket(99))
			g.HandleUpstreamPacket(now, packet(99, gdflow.Accept, 7, 1, 0))
			now = now.Add(time.Second)
			taken := 0
			for i := range 50 {
				if only(t, g.HandleEntryPacket(now, entry, tc.then, openPacket(100+i))).Verb == gdguard.Deliver {
					taken++
				}
				g.HandleUpstreamPacket(now, packet(100+i, gdflow.Accept, 7, 1, 0))
			}
			if tc.bound {
				require.LessOrEqual(t, taken, perSecond)
				later := now.Add(coldFor)
				require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(later, entry, tc.then, openPacket(300))).Verb, "for a while only")
				return
			}
			require.Equal(t, 50, taken)
		})
	}
}
