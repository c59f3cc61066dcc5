package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// openAll opens flows spread over two seconds, so that no upstream is overloaded, and
// sends a request on each.
func openAll(f *fleet, flows int) {
	for i := range flows {
		f.after(time.Duration(i)*2*time.Second/time.Duration(flows), func() { f.open(0, callerKey(i)) })
		f.after(time.Duration(i)*2*time.Second/time.Duration(flows)+10*time.Millisecond, func() { f.request(0, callerKey(i)) })
	}
	f.run(3 * time.Second)
	require.Equal(f.t, flows, f.took())
}

// TestFlowsAreFoundByNewEntryHosts is the pattern of entry hosts that join in the
// middle of many flows: routers then send nearly every flow to another host.
func TestFlowsAreFoundByNewEntryHosts(t *testing.T) {
	for _, upstreams := range []int{7, 46, 300} {
		const flows = 400
		f := newFleet(t, 1, upstreams, 3)
		openAll(f, flows)
		f.addEntry(1)
		before := f.messages
		for i := range flows {
			f.request(1, callerKey(i))
		}
		f.run(time.Second)
		require.Equal(t, 2*flows, f.took(), "%d upstreams", upstreams)
		require.Zero(t, f.wrong(), "no packet reaches an upstream that does not hold its flow")
		require.Empty(t, f.resets)
		// A packet there, a note back and the answers of those that do not hold it.
		require.Less(t, float64(f.messages-before)/flows, 4.0, "messages a search, %d upstreams", upstreams)
	}
}

// TestRestartedAgentsFindTheirFlows is the pattern of agents that are stopped and
// started in turn: they know no flows, but their upstreams do.
func TestRestartedAgentsFindTheirFlows(t *testing.T) {
	const flows = 200
	f := newFleet(t, 1, 7, 3)
	openAll(f, flows)
	for i := range 7 {
		f.addSide(i, false)
	}
	f.addEntry(1)
	for i := range flows {
		f.request(1, callerKey(i))
	}
	f.run(time.Second)
	require.Equal(t, 2*flows, f.took())
	require.Empty(t, f.resets)
	for _, s := range f.sides {
		for k, n := range s.got {
			require.LessOrEqual(t, n, 1, "flow %s at an upstream that does not hold it", k)
		}
	}
}

// TestResetNeedsProof: a flow is reset when each upstream has said that it does not
// hold it, and not while one says nothing.
func TestResetNeedsProof(t *testing.T) {
	tests := []struct {
		name  string
		lose  func(f *fleet, s *side, i int)
		reset bool
	}{
		{"upstream started again", func(_ *fleet, s *side, _ int) { clear(s.holds) }, true},
		{"host started again", func(f *fleet, _ *side, i int) { f.addSide(i, true) }, true},
		{"host is silent", func(_ *fleet, s *side, _ int) { s.down = true }, false},
		{"upstream is silent", func(_ *fleet, s *side, _ int) { s.mute = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 1, 7, 3)
			f.open(0, callerKey(1))
			f.run(time.Second)
			for i := range 7 {
				if s := f.sides[upstreamAt(i)]; len(s.holds) > 0 {
					tt.lose(f, s, i)
				}
			}
			f.addEntry(1)
			f.request(1, callerKey(1))
			f.run(3 * time.Second)
			require.Equal(t, tt.reset, len(f.resets) == 1)
		})
	}
}

// TestStaleViewProvesNothing: an entry host that has not heard of the store for a
// while, or is behind an agent, may not know the upstream that holds a flow.
func TestStaleViewProvesNothing(t *testing.T) {
	tests := []struct {
		name      string
		confirmed time.Duration // before now
		revision  uint64        // that the agents have seen
		want      gddispatch.Verb
	}{
		{"view is recent", time.Second, 100, gddispatch.Reset},
		{"view is old", 3 * time.Second, 100, gddispatch.Drop},
		{"an agent is ahead", time.Second, 101, gddispatch.Drop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s gddispatch.Dispatcher
			var b gddiscovery.State
			require.True(t, b.Load(start, update(3, 3, nil)))
			s.SetView(start, b.View())
			s.ConfirmView(start.Add(-tt.confirmed))
			p := gdflow.NewPacket(callerKey(5), gdflow.Data)
			actions := s.HandleCallerPacket(start, p, []byte{0})
			for len(actions) > 0 && actions[0].Verb == gddispatch.Forward {
				ans := gddispatch.ReturnInfo{From: actions[0].To, Reason: gdguard.NotHeld, Revision: tt.revision}
				actions = s.HandleReturned(start, ans, p, []byte{0})
			}
			for next := s.NextTick(); len(actions) == 0 && !next.IsZero(); next = s.NextTick() {
				actions = s.Tick(next) // it waits for a newer view, which does not come
			}
			require.Len(t, actions, 1)
			require.Equal(t, tt.want, actions[0].Verb)
		})
	}
}

// TestRefusedByAllIsResetAtOnce: the reset is true, since no upstream took the flow,
// and comes as soon as the last one has refused.
func TestRefusedByAllIsResetAtOnce(t *testing.T) {
	f := newFleet(t, 1, 5, 3)
	for i := range 5 {
		f.sides[upstreamAt(i)].guard.Leave()
	}
	f.open(0, callerKey(1))
	f.run(5 * 2 * 2 * hop)
	require.Equal(t, gddispatch.NoUpstream, f.resets[callerKey(1)])
}

// TestSilentUpstreamForbidsRefusal: an upstream that was offered the flow and said
// nothing may have accepted it, so "has not run" could be untrue.
func TestSilentUpstreamForbidsRefusal(t *testing.T) {
	for _, reason := range []gdguard.Reason{gdguard.Draining, gdguard.Busy} {
		var s gddispatch.Dispatcher
		var b gddiscovery.State
		require.True(t, b.Load(start, update(2, 3, nil)))
		s.SetView(start, b.View())
		now := start
		p := gdflow.NewPacket(callerKey(5), gdflow.Open)
		first := s.HandleCallerPacket(now, p, []byte{0})[0].To
		now = s.NextTick()
		var all []gddispatch.Action
		for actions := s.Tick(now); now.Before(start.Add(time.Second)); actions = s.Tick(now) {
			for len(actions) > 0 && actions[0].Verb == gddispatch.Forward && actions[0].To != first {
				all = append(all, actions...)
				actions = s.HandleReturned(now, gddispatch.ReturnInfo{From: actions[0].To, Reason: reason}, p, []byte{0})
			}
			all = append(all, actions...)
			if s.NextTick().IsZero() {
				break
			}
			now = s.NextTick()
		}
		require.NotEmpty(t, all)
		for _, a := range all {
			require.NotEqual(t, gddispatch.Reset, a.Verb, reason.String())
		}
	}
}

// TestFlowOfAnAddressUsedAgain: the flow's upstream is gone, and another service has its
// address; the caller is told.
func TestFlowOfAnAddressUsedAgain(t *testing.T) {
	f := newFleet(t, 1, 1, 3)
	f.open(0, callerKey(1))
	f.run(time.Second)
	var b gddiscovery.State
	require.True(t, b.Load(f.now, update(2, 3, func(i int, u *gddiscovery.Upstream) {
		if i == 0 {
			u.Service = "gallery"
		}
	})))
	f.addSide(1, true)
	e := f.entries[entryAt(0)]
	e.core.SetView(f.now, b.View())
	f.request(0, callerKey(1))
	f.run(time.Second)
	require.Equal(t, gddispatch.FlowGone, f.resets[callerKey(1)])
	require.Zero(t, f.took()+f.wrong(), "nothing reaches the other service")
}

// TestSilentUpstreamCostsLittle is the pattern of a host that stays away after a loss
// of power: no search can prove anything, so none asks everyone again and again.
func TestSilentUpstreamCostsLittle(t *testing.T) {
	const flows, upstreams = 300, 46
	f := newFleet(t, 1, upstreams, 2)
	f.sides[upstreamAt(3)].down = true
	// The host is known to be silent once two packets have gone unanswered.
	for i := range flows {
		f.after(time.Duration(i)*2*time.Second/flows, func() { f.request(0, callerKey(i)) })
	}
	f.run(4 * time.Second)
	require.Empty(t, f.resets)
	require.Less(t, float64(f.messages)/flows, 0.8*2*upstreams, "less than a question and an answer for each upstream")
}

// TestBurstSpreads is the pattern of many callers that come at once: no upstream is
// given more than it works on while another has a free slot.
func TestBurstSpreads(t *testing.T) {
	const upstreams, slots = 12, 3
	f := newFleet(t, 4, upstreams, slots)
	f.work = 200 * time.Millisecond
	const flows = upstreams * slots * 3 / 4
	for i := range flows {
		f.after(time.Duration(i)*5*time.Millisecond, func() { f.open(i%4, callerKey(i)) })
		f.after(time.Duration(i)*5*time.Millisecond+20*time.Millisecond, func() { f.request(i%4, callerKey(i)) })
	}
	f.run(2 * time.Second)
	total := 0
	for _, s := range f.sides {
		require.LessOrEqual(t, s.most, slots+1)
		total += s.opened
	}
	require.Equal(t, flows, total)
}

// TestOverloadKeepsQueuesShort is the pattern of a backlog after an outage, or of a
// burst: twice as many flows as the upstreams bear. Those that are let in are
// answered within the goal, the rest is refused when its goal has passed, and the
// upstreams never idle.
func TestOverloadKeepsQueuesShort(t *testing.T) {
	const upstreams, slots = 6, 3
	f := newFleet(t, 4, upstreams, slots)
	capacity := int(time.Second/f.work) * upstreams * slots
	flows := 2 * 2 * capacity // for two seconds
	for i := range flows {
		f.after(time.Duration(i)*2*time.Second/time.Duration(flows), func() { f.open(i%4, callerKey(i)) })
	}
	f.requestOnOpen = true
	f.run(4 * time.Second)
	for _, s := range f.sides {
		require.LessOrEqual(t, s.most, 3*slots+1)
	}
	require.Greater(t, f.took(), 2*capacity*9/10, "goodput does not fall")
	require.Equal(t, flows, f.took()+len(f.resets), "each flow is served or refused")
	for _, r := range f.resets {
		require.Equal(t, gddispatch.Overloaded, r)
	}
	require.Less(t, f.slowest, goal+3*f.work+10*time.Millisecond, "from the flow's opening to its answer")
	require.Less(t, f.latestReset, goal+50*time.Millisecond)
}

// TestSilentHostIsPassedOver: a host that stops answering costs a new flow one
// answer time, and later ones nothing.
func TestSilentHostIsPassedOver(t *testing.T) {
	f := newFleet(t, 1, 7, 3)
	f.sides[upstreamAt(2)].down = true
	opened := func() int {
		n := 0
		for _, s := range f.sides {
			n += s.opened
		}
		return n
	}
	for i := range 50 {
		f.open(0, callerKey(i))
		f.run(50 * time.Millisecond)
		require.Equal(t, i+1, opened(), "flow %d opened within 50 ms", i)
	}
}

// TestNewFlowsGoOnlyWhereTheyMay lists who takes no new flows.
func TestNewFlowsGoOnlyWhereTheyMay(t *testing.T) {
	out := gddiscovery.Change{Subject: gddiscovery.Subject{Kind: gddiscovery.Evacuation, Name: "out"}, Revision: 60}
	u := update(8, 3, func(i int, u *gddiscovery.Upstream) {
		u.Draining = i < 2
		if i >= 2 && i < 4 {
			u.Domain = "out"
		}
	})
	u.Changes = append(u.Changes, out)
	var b gddiscovery.State
	require.True(t, b.Load(start, u))
	var s gddispatch.Dispatcher
	s.SetView(start, b.View())
	for i := range 200 {
		p := gdflow.NewPacket(callerKey(i), gdflow.Open)
		for _, a := range s.HandleCallerPacket(start, p, []byte{0}) {
			require.Equal(t, gddispatch.Forward, a.Verb)
			for j := range 4 {
				require.NotEqual(t, upstreamAt(j), a.To)
			}
			require.True(t, a.Header.Status.AcceptsNew)
			require.Equal(t, uint64(100), a.Header.Status.Revision)
		}
	}
}

// TestAgentsAreToldOfChanges: an entry host that was paused acts on an old view, and the
// agent refuses what it sends.
func TestAgentsAreToldOfChanges(t *testing.T) {
	var b gddiscovery.State
	require.True(t, b.Load(start, update(3, 3, nil)))
	var awake, paused gddispatch.Dispatcher
	require.Empty(t, awake.SetView(start, b.View()), "nothing was different before")
	paused.SetView(start, b.View())
	u := update(3, 3, func(_ int, u *gddiscovery.Upstream) { u.Draining = true })
	require.True(t, b.Apply(start, gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{{
		Subject: u.Changes[1].Subject, Revision: 101, Upstream: u.Changes[1].Upstream,
	}}}))
	told := awake.SetView(start, b.View())
	require.Len(t, told, 1)
	require.Equal(t, gddispatch.SendStatus, told[0].Verb)
	require.Equal(t, upstreamAt(0), told[0].To)
	agent := gdguard.Guard{Service: "booking", ObservedFromStart: true}
	agent.UpdateStatus(start, told[0].Header)
	p := gdflow.NewPacket(callerKey(1), gdflow.Open)
	sent := paused.HandleCallerPacket(start, p, []byte{0})[0]
	require.Equal(t, gdguard.Draining, agent.HandleEntryPacket(start, entryAt(1), sent.Header, p)[0].Reason)
}

// TestAgentsAreToldOfStarts: an upstream that started again is cold, and its agent is
// the one that bounds what it gets.
func TestAgentsAreToldOfStarts(t *testing.T) {
	var b gddiscovery.State
	require.True(t, b.Load(start, update(3, 3, nil)))
	var s gddispatch.Dispatcher
	s.SetView(start, b.View())
	u := update(3, 3, func(_ int, u *gddiscovery.Upstream) { u.StartUnixMilli, u.ColdFor = 77, 2*time.Second })
	require.True(t, b.Apply(start, gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{{
		Subject: u.Changes[2].Subject, Revision: 101, Upstream: u.Changes[2].Upstream,
	}}}))
	told := s.SetView(start, b.View())
	require.Len(t, told, 1)
	require.Equal(t, upstreamAt(1), told[0].To)
	require.Equal(t, int64(77), told[0].Header.Status.StartUnixMilli)
	require.Equal(t, 2*time.Second, told[0].Header.Status.ColdLeft)
}

func TestFlowWithoutRouteOrUpstreamIsResetAtOnce(t *testing.T) {
	var b gddiscovery.State
	require.True(t, b.Load(start, update(0, 3, nil)))
	var s gddispatch.Dispatcher
	p := gdflow.NewPacket(callerKey(1), gdflow.Open)
	require.Equal(t, gddispatch.Waiting, s.HandleCallerPacket(start, p, nil)[0].Reason)
	require.Equal(t, gddispatch.NoUpstream, s.SetView(start, b.View())[0].Reason)
	require.Equal(t, gddispatch.NoUpstream, s.HandleCallerPacket(start, p, nil)[0].Reason)
	p = gdflow.NewPacket(gdflow.NewKey(callerKey(1).Caller(), serviceAt.WithPort(1)), gdflow.Open)
	require.Equal(t, gddispatch.NoRoute, s.HandleCallerPacket(start, p, nil)[0].Reason)
}

// TestForwardingAllocatesNothing bounds the cost of a packet of a known flow.
func TestForwardingAllocatesNothing(t *testing.T) {
	f := newFleet(t, 1, 7, 3)
	f.open(0, callerKey(1))
	f.run(time.Second)
	e := f.entries[entryAt(0)]
	p := gdflow.NewPacket(callerKey(1), gdflow.Data)
	raw := make([]byte, 100)
	require.Zero(t, testing.AllocsPerRun(1000, func() { e.core.HandleCallerPacket(f.now, p, raw) }))
}

// TestSettleTimeIsTold: the way of an offer and its answer, once a flow.
func TestSettleTimeIsTold(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	var told []time.Duration
	f.entries[entryAt(0)].core.OnResolved = func(took time.Duration) { told = append(told, took) }
	f.open(0, callerKey(1))
	f.run(time.Second)
	f.request(0, callerKey(1))
	f.run(time.Second)
	require.Equal(t, []time.Duration{2 * hop}, told)
}
