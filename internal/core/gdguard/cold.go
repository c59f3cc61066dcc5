package gdguard

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// restart is a restart of the upstream that the agent has observed and that no entry
// host has reported yet. The zero value means none.
type restart struct {
	observedAt time.Time // when the agent observed it
	after      time.Time // when the previous process was still running, or was unavailable
	previous   []int64   // when the previous processes were started, as far as known
}

// maxStarts is how many start times of the upstream are remembered: more than it has within
// the age of a copy from which the source may be restored.
const maxStarts = 8

// minIdleTimeout is the time without packets after which an upstream may have dropped a
// flow: two thirds of the longest idle timeout in the users' settings.
const minIdleTimeout = 10 * time.Second

// noteStart remembers the start time of a process of the upstream.
func (g *Guard) noteStart(startMilli int64) {
	if startMilli != 0 && !slices.Contains(g.starts, startMilli) {
		g.starts = append(g.starts, startMilli)
		g.starts = g.starts[max(len(g.starts)-maxStarts, 0):]
	}
}

// matches reports whether the status of an upstream that was started at the time, in
// Unix milliseconds, is that of the new process. A source that was restored from a copy may
// show any of the previous ones.
func (r restart) matches(startMilli int64) bool {
	if len(r.previous) > 0 {
		return startMilli != 0 && !slices.Contains(r.previous, startMilli)
	}
	return startMilli >= r.after.Add(-maxStartSkew).UnixMilli()
}

// noteRestart records that the upstream may have restarted after a time. The entry
// hosts may not know of it yet, so the agent applies the slow start itself.
func (g *Guard) noteRestart(now, after time.Time) {
	r := restart{observedAt: now, after: after, previous: slices.Clone(g.starts)}
	if g.exited {
		r.previous = g.exitedStarts
	}
	if g.restart.observedAt.IsZero() && !r.matches(g.status.StartUnixMilli) {
		g.restart = r
	}
}

// used records a packet of the caller.
func (f *flow) used(now time.Time, p gdflow.Packet) {
	f.wasIdle = f.wasIdle || !f.usedAt.IsZero() && now.Sub(f.usedAt) >= minIdleTimeout
	f.usedAt = now
	f.closed = f.closed || p.Kind == gdflow.Reset || p.Kind == gdflow.Finish && f.finished
	f.callerFinished = f.callerFinished || p.Kind == gdflow.Finish
}

// noteReply records a packet of the upstream.
func (f *flow) noteReply(now time.Time, p gdflow.Packet) {
	f.closed = f.closed || p.Kind == gdflow.Reset || p.Kind == gdflow.Finish && f.callerFinished
	f.finished = f.finished || p.Kind == gdflow.Finish || p.Kind == gdflow.Reset
	f.wasIdle, f.usedAt = false, now
}

// freshness records whether a status is known from a view that is so much later than the agent's
// start that it has the registration of an upstream that was started before. An earlier one doesn't
// show a restart that the agent was too late to observe.
type freshness struct{ fresh, stale bool }

// registeredAt returns when an upstream has registered that was started before the agent.
func (g *Guard) registeredAt() time.Time {
	return g.AgentStarted.Add(max(restoreGrace, g.Heartbeat+g.Heartbeat/2))
}

// noteViewAge records how old the view is from which the status comes.
func (g *Guard) noteViewAge(now time.Time, s UpstreamStatus) {
	switch {
	case s.ViewAge == 0:
	case now.Add(-s.ViewAge).Before(g.registeredAt()) && s.StartUnixMilli < g.AgentStarted.Add(-maxStartSkew).UnixMilli():
		g.freshness.stale = true
	default:
		g.freshness.fresh = true
	}
}

// mayHaveRestarted reports whether the upstream may have restarted before the agent's start without
// any status showing it: it has not registered yet, or the source is away.
func (g *Guard) mayHaveRestarted() bool {
	return g.freshness.stale && !g.freshness.fresh && !g.ObservedFromStart
}

// copiedStatus is the status of a process that may have been replaced: the source was
// restored from a copy, and the agent started too late to know. The zero value means none.
type copiedStatus struct {
	until      time.Time // the running process has registered by then
	startMilli int64     // when the process of the status was started
}

// noteEra records that the status is the first one of a later era, if the agent has just
// started: the upstream may have restarted while no agent ran, and the source may have lost
// that. An agent can't tell how long ago the era began.
func (g *Guard) noteEra(now time.Time, s UpstreamStatus) {
	begins := s.Revision.Era() > g.status.Revision.Era() && now.Sub(g.AgentStarted) < restoreGrace
	startedLater := s.StartUnixMilli >= g.AgentStarted.Add(-maxStartSkew).UnixMilli()
	switch {
	case begins && !startedLater:
		g.copied = copiedStatus{until: now.Add(restoreGrace), startMilli: s.StartUnixMilli}
	case startedLater || s.StartUnixMilli > g.copied.startMilli:
		g.copied = copiedStatus{}
	}
}

// noteInherited counts a flow that the upstream holds and that this agent has not let in.
func (g *Guard) noteInherited(known bool, f *flow, p gdflow.Packet) {
	if (!known || f.state == unknown) && p.Kind != gdflow.Accept && p.Kind != gdflow.Reset {
		g.inherited++
	}
}

// holdsMoreThanCold reports whether the upstream held more flows before the agent's start
// than a cold one can have accepted.
func (g *Guard) holdsMoreThanCold() bool {
	return float64(g.inherited) > float64(g.status.ColdFlowsPerSecond)*(g.status.ColdFor+time.Second).Seconds()
}

// isCold reports whether the upstream is cold: according to its status, or since the
// agent has observed a restart that was not reported to it, or can't rule one out.
func (g *Guard) isCold(now time.Time) bool {
	until := g.coldUntil
	if r := g.restart; !r.observedAt.IsZero() && r.observedAt.Add(g.status.ColdFor).After(until) {
		until = r.observedAt.Add(g.status.ColdFor)
	}
	if g.copied.until.After(until) && !g.holdsMoreThanCold() {
		until = g.copied.until
	}
	if end := g.AgentStarted.Add(g.status.ColdFor); end.After(until) && g.mayHaveRestarted() && !g.holdsMoreThanCold() {
		until = end
	}
	return g.status.ColdFlowsPerSecond > 0 && now.Before(until)
}

// coldLimit returns how many new flows a cold upstream gets in the second that ends now. In
// the first second of an agent's life, the agent before it may have used part of it.
func (g *Guard) coldLimit(now time.Time) int {
	limit := int(g.status.ColdFlowsPerSecond)
	if !g.ObservedFromStart && now.Sub(g.AgentStarted) < time.Second {
		return limit / 2
	}
	return limit
}

// budget limits the new flows within any second.
type budget struct{ used []time.Time }

func (b *budget) trim(now time.Time) {
	i := 0
	for ; i < len(b.used) && now.Sub(b.used[i]) > time.Second; i++ {
	}
	b.used = slices.Delete(b.used, 0, i)
}

func (b *budget) allows(now time.Time, perSecond int) bool {
	b.trim(now)
	return len(b.used) < max(perSecond, 1)
}

func (b *budget) spend(now time.Time) {
	b.trim(now)
	b.used = append(b.used, now)
}
