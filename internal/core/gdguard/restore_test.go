package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestRestoredSourceShowsOlderStatus: the source was restored from a copy that was made
// before the upstream drained or became cold, and an entry host believes the copy.
func TestRestoredSourceShowsOlderStatus(t *testing.T) {
	const boot, nextBoot = 1000, 2000
	status := func(revision gddiscovery.Revision, acceptsNew bool, startMilli int64, coldLeft time.Duration) gdguard.Header {
		h := header(revision)
		h.Status.AcceptsNew, h.Status.StartUnixMilli, h.Status.ColdLeft = acceptsNew, startMilli, coldLeft
		h.Status.ColdFor, h.Status.ColdFlowsPerSecond = 4*time.Second, 1
		return h
	}
	copied := gddiscovery.NewRevision(1, 60)
	tests := []struct {
		name   string
		before gdguard.Header
		after  gdguard.Header
		at     time.Duration
		want   gdguard.Reason // of the second flow, or 0 if it is accepted
	}{
		{"drained since the copy", status(104, false, boot, 0), status(copied, true, boot, 0), time.Second, gdguard.Draining},
		{"not written again in time", status(104, false, boot, 0), status(copied, true, boot, 0), 2100 * time.Millisecond, 0},
		{"started again", status(104, false, boot, 0), status(copied, true, nextBoot, 0), time.Second, 0},
		{"cold since the copy", status(104, true, boot, 3*time.Second), status(copied, true, boot, 0), time.Second, gdguard.Cold},
		{"no copy, brought back", status(104, false, boot, 0), status(105, true, boot, 0), time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			g.UpdateStatus(start, tt.before)
			g.UpdateStatus(start, tt.after)
			now := start.Add(tt.at)
			first := only(t, g.HandleEntryPacket(now, entry, tt.after, openPacket(1)))
			second := only(t, g.HandleEntryPacket(now, entry, tt.after, openPacket(2)))
			if tt.want == 0 {
				require.Equal(t, gdguard.Deliver, first.Verb)
				require.Equal(t, gdguard.Deliver, second.Verb)
				return
			}
			require.Equal(t, gdguard.Return, second.Verb)
			require.Equal(t, tt.want, second.Reason)
		})
	}
}

// TestAgentThatStartedDuringRestoreLimitsNewFlows: agent and upstream restarted, the source
// was restored from a copy before the upstream was written as cold, and the copy shows the
// process before. Load: 50 new flows at once.
func TestAgentThatStartedDuringRestoreLimitsNewFlows(t *testing.T) {
	const flows, perSecond, coldFor = 50, 2, time.Second
	hourAgo := start.Add(-time.Hour).UnixMilli()
	status := func(revision gddiscovery.Revision, startMilli int64) gdguard.Header {
		h := header(revision)
		h.Forced = true
		h.Status.Slots, h.Status.StartUnixMilli = 100, startMilli
		h.Status.ColdFor, h.Status.ColdFlowsPerSecond = coldFor, perSecond
		return h
	}
	copied := gddiscovery.NewRevision(1, 60)
	old := func(h gdguard.Header) gdguard.Header {
		h.Status.ViewAge = 600 * time.Millisecond
		return h
	}
	current := func(h gdguard.Header) gdguard.Header {
		h.Status.ViewAge = 400 * time.Millisecond
		return h
	}
	unlimited := status(copied, hourAgo)
	unlimited.Status.ColdFlowsPerSecond = 0
	tests := []struct {
		name   string
		first  gdguard.Header
		at     time.Duration // after the agent's start
		held   int           // flows that the upstream answers without the agent having let them in
		second gdguard.Header
		later  time.Duration // from the first status to the second one
		want   int
	}{
		{"the copy shows the process before", status(copied, hourAgo), time.Second, 0, status(copied, hourAgo), 0, perSecond},
		{"the copy shows no start time", status(copied, 0), time.Second, 0, status(copied, 0), 0, perSecond},
		{"the era begins after the first status", status(104, hourAgo), time.Second, 0, status(copied, hourAgo), 0, perSecond},
		{"some flows of before", status(copied, hourAgo), time.Second, perSecond, status(copied, hourAgo), 0, perSecond},
		{"more flows than a cold upstream can hold", status(copied, hourAgo), time.Second, 2*perSecond + 1, status(copied, hourAgo), 0, flows},
		{"the time to register again is over", status(copied, hourAgo), time.Second, 0, status(copied, hourAgo), 2 * time.Second, flows},
		{"another process is reported", status(copied, hourAgo), time.Second, 0, status(copied+1, hourAgo+1), 0, flows},
		{"the process of the agent's start is reported", status(copied, start.Add(-50*time.Millisecond).UnixMilli()), time.Second, 0, status(copied, start.Add(-50*time.Millisecond).UnixMilli()), 0, flows},
		{"no restore", status(104, hourAgo), time.Second, 0, status(105, hourAgo), 0, flows},
		{"the agent has run for longer", status(copied, hourAgo), 2 * time.Second, 0, status(copied, hourAgo), 0, flows},
		{"no slow start", unlimited, time.Second, 0, unlimited, 0, flows},
		{"the source is away", old(status(104, hourAgo)), time.Second / 2, 0, old(status(104, hourAgo)), 0, perSecond / 2},
		{"the source is away, and an old entry host doesn't tell", old(status(104, hourAgo)), time.Second / 2, 0, status(104, hourAgo), 0, perSecond / 2},
		{"the source is away, and the agent has run for longer", old(status(104, hourAgo)), time.Second, 0, old(status(104, hourAgo)), 0, flows},
		{"the source is away, and the flows are more than a cold upstream can hold", old(status(104, hourAgo)), time.Second / 2, 2*perSecond + 1, old(status(104, hourAgo)), 0, flows},
		{"the view is later, but the upstream may not have registered", old(status(104, hourAgo)), time.Second / 2, 0, current(status(104, hourAgo)), 0, perSecond / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", AgentStarted: start}
			now := start.Add(tt.at)
			for i := range tt.held {
				g.HandleUpstreamPacket(now, packet(1000+i, gdflow.Data, 1, 1, 10))
				g.HandleUpstreamPacket(now, packet(1000+i, gdflow.Data, 11, 1, 10))
			}
			g.UpdateStatus(now, tt.first)
			now = now.Add(tt.later)
			accepted := 0
			for i := range flows {
				if only(t, g.HandleEntryPacket(now, entry, tt.second, openPacket(i))).Verb == gdguard.Deliver {
					accepted++
				}
				g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 7, 1, 0))
			}
			require.Equal(t, tt.want, accepted)
		})
	}
}

// TestUpstreamThatHasNotRegistered guards against a cold upstream without a limit: it was started
// together with its agent, or before, and the view that is later than the agent's start still has
// its former process, because it registers within its heartbeat or two seconds. Load: 50 new flows.
func TestUpstreamThatHasNotRegistered(t *testing.T) {
	const flows, perSecond, coldFor = 50, 4, 20 * time.Second
	status := func(now time.Time, view time.Duration, startMilli int64) gdguard.Header {
		h := header(104)
		h.Forced = true
		h.Status = gdguard.UpstreamStatus{
			Revision: 104, AcceptsNew: true, Slots: 100, ColdFlowsPerSecond: perSecond, ColdFor: coldFor, StartUnixMilli: startMilli,
			ViewAge: max(now.Sub(start.Add(view)), time.Nanosecond),
		}
		return h
	}
	hourAgo := start.Add(-time.Hour).UnixMilli()
	for _, tt := range []struct {
		name       string
		heartbeat  time.Duration
		view       time.Duration // when the view was current, after the agent's start
		startMilli int64
		limited    bool
	}{
		{"view of before the start", 0, -time.Second, hourAgo, true},
		{"view right after the start", 0, 100 * time.Millisecond, hourAgo, true},
		{"view within the heartbeat", 770 * time.Millisecond, 900 * time.Millisecond, hourAgo, true},
		{"view after it", 770 * time.Millisecond, 2 * time.Second, hourAgo, false},
		{"view within a long heartbeat", 4 * time.Second, 4 * time.Second, hourAgo, true},
		{"view after a long heartbeat", 4 * time.Second, 6 * time.Second, hourAgo, false},
		{"a later process is registered", 0, time.Second, start.Add(500 * time.Millisecond).UnixMilli(), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", AgentStarted: start, Heartbeat: tt.heartbeat}
			now := start.Add(max(tt.view, 0) + 1200*time.Millisecond)
			accepted := 0
			for i := range flows {
				if only(t, g.HandleEntryPacket(now, entry, status(now, tt.view, tt.startMilli), openPacket(i))).Verb == gdguard.Deliver {
					accepted++
				}
				g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 7, 1, 0))
			}
			require.Equal(t, map[bool]int{true: perSecond, false: flows}[tt.limited], accepted)
		})
	}
}
