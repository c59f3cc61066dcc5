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
	require.Equal(f.t, flows, f.served())
}

// TestFlowsAreFoundByNewEntryHosts: entry hosts join while many flows are open, and
// routers then send nearly every flow to a different host.
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
		require.Equal(t, 2*flows, f.served(), "%d upstreams", upstreams)
		require.Zero(t, f.misdelivered(), "no packet reaches an upstream that does not hold its flow")
		require.Empty(t, f.resets)
		// One packet, one report of the holder, and the answers of those that do not hold it.
		require.Less(t, float64(f.messages-before)/flows, 4.0, "messages per lookup, %d upstreams", upstreams)
	}
}

// TestRestartedAgentsFindTheirFlows: agents are restarted in turn. They know no
// flows, but their upstreams do.
func TestRestartedAgentsFindTheirFlows(t *testing.T) {
	const flows = 200
	f := newFleet(t, 1, 7, 3)
	openAll(f, flows)
	for i := range 7 {
		f.addAgent(i, false)
	}
	f.addEntry(1)
	for i := range flows {
		f.request(1, callerKey(i))
	}
	f.run(time.Second)
	require.Equal(t, 2*flows, f.served())
	require.Empty(t, f.resets)
	for _, ag := range f.agents {
		for k, n := range ag.misdelivered {
			require.LessOrEqual(t, n, 1, "flow %s at an upstream that does not hold it", k)
		}
	}
}

// TestResetNeedsProof: a flow is reset when each upstream has reported that it does
// not hold it, and not while one is unresponsive.
func TestResetNeedsProof(t *testing.T) {
	tests := []struct {
		name          string
		breakUpstream func(f *fleet, ag *agent, i int)
		reset         bool
	}{
		{"upstream restarted", func(_ *fleet, ag *agent, _ int) { clear(ag.held) }, true},
		{"host restarted", func(f *fleet, _ *agent, i int) { f.addAgent(i, true) }, true},
		{"host is silent", func(_ *fleet, ag *agent, _ int) { ag.down = true }, false},
		{"upstream is unresponsive", func(_ *fleet, ag *agent, _ int) { ag.unresponsive = true }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 1, 7, 3)
			f.open(0, callerKey(1))
			f.run(time.Second)
			for i := range 7 {
				if ag := f.agents[upstreamAt(i)]; len(ag.held) > 0 {
					tt.breakUpstream(f, ag, i)
				}
			}
			f.addEntry(1)
			f.request(1, callerKey(1))
			f.run(3 * time.Second)
			require.Equal(t, tt.reset, len(f.resets) == 1)
		})
	}
}

// TestRefusedByAllIsResetAtOnce: the reset is justified, because no upstream accepted
// the flow, and is sent as soon as the last one has refused.
func TestRefusedByAllIsResetAtOnce(t *testing.T) {
	f := newFleet(t, 1, 5, 3)
	for i := range 5 {
		f.agents[upstreamAt(i)].guard.Leave()
	}
	f.open(0, callerKey(1))
	f.run(5 * 2 * 2 * hop)
	require.Equal(t, gddispatch.NoUpstream, f.resets[callerKey(1)])
}

// TestUnresponsiveUpstreamPreventsReset: an unresponsive upstream that was offered the flow
// may have accepted it, so a reset that means "not run" could be wrong.
func TestUnresponsiveUpstreamPreventsReset(t *testing.T) {
	for _, reason := range []gdguard.Reason{gdguard.Draining, gdguard.Busy} {
		var d gddispatch.Dispatcher
		var state gddiscovery.State
		require.True(t, state.Load(start, update(2, 3, nil)))
		d.SetView(start, state.View())
		now := start
		p := gdflow.NewPacket(callerKey(5), gdflow.Open)
		first := d.HandleCallerPacket(now, p, []byte{0})[0].To
		now = d.NextTick()
		var all []gddispatch.Action
		for actions := d.Tick(now); now.Before(start.Add(time.Second)); actions = d.Tick(now) {
			for len(actions) > 0 && actions[0].Verb == gddispatch.Forward && actions[0].To != first {
				all = append(all, actions...)
				actions = d.HandleReturned(now, gddispatch.ReturnInfo{From: actions[0].To, Reason: reason}, p, []byte{0})
			}
			all = append(all, actions...)
			if d.NextTick().IsZero() {
				break
			}
			now = d.NextTick()
		}
		require.NotEmpty(t, all)
		for _, a := range all {
			require.NotEqual(t, gddispatch.Reset, a.Verb, reason.String())
		}
	}
}

// TestFlowOfReassignedAddress: the flow's upstream is gone, and its address was
// reassigned to another service. The flow must be reset.
func TestFlowOfReassignedAddress(t *testing.T) {
	f := newFleet(t, 1, 1, 3)
	f.open(0, callerKey(1))
	f.run(time.Second)
	var state gddiscovery.State
	require.True(t, state.Load(f.now, update(2, 3, func(i int, u *gddiscovery.Upstream) {
		if i == 0 {
			u.Service = "gallery"
		}
	})))
	f.addAgent(1, true)
	e := f.entries[entryAt(0)]
	e.core.SetView(f.now, state.View())
	f.request(0, callerKey(1))
	f.run(time.Second)
	require.Equal(t, gddispatch.FlowGone, f.resets[callerKey(1)])
	require.Zero(t, f.served()+f.misdelivered(), "nothing reaches the other service")
}

// TestSilentUpstreamCausesFewQueries: a host stays down after a power loss, so that no
// lookup can prove that a flow is gone. Lookups must not query all upstreams again and
// again.
func TestSilentUpstreamCausesFewQueries(t *testing.T) {
	const flows, upstreams = 300, 46
	f := newFleet(t, 1, upstreams, 2)
	f.agents[upstreamAt(3)].down = true
	// The host is suspect after two unanswered packets.
	for i := range flows {
		f.after(time.Duration(i)*2*time.Second/flows, func() { f.request(0, callerKey(i)) })
	}
	f.run(4 * time.Second)
	require.Empty(t, f.resets)
	require.Less(t, float64(f.messages)/flows, 0.8*2*upstreams, "less than a query and an answer per upstream")
}

// TestBurstIsSpreadOverUpstreams: many callers arrive at once. No upstream may get more
// requests than it has slots while another has a free one.
func TestBurstIsSpreadOverUpstreams(t *testing.T) {
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
	for _, ag := range f.agents {
		require.LessOrEqual(t, ag.maxRunning, slots+1)
		total += ag.opened
	}
	require.Equal(t, flows, total)
}

// TestOverloadKeepsQueuesShort: after an outage, or in a burst, twice as many flows
// arrive as the upstreams have capacity for. Accepted flows must be answered within the
// latency objective, the rest is refused when the objective has passed, and the upstreams
// never idle.
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
	for _, ag := range f.agents {
		require.LessOrEqual(t, ag.maxRunning, 3*slots+1)
	}
	require.Greater(t, f.served(), 2*capacity*9/10, "goodput does not fall")
	require.Equal(t, flows, f.served()+len(f.resets), "each flow is served or refused")
	for _, r := range f.resets {
		require.Equal(t, gddispatch.Overloaded, r)
	}
	require.Less(t, f.slowest, objective+3*f.work+10*time.Millisecond, "from the flow's opening to its answer")
	require.Less(t, f.latestReset, objective+50*time.Millisecond)
}

// TestSilentHostIsSkipped: a host that stops responding delays a new flow by one
// answer timeout, and later ones not at all.
func TestSilentHostIsSkipped(t *testing.T) {
	f := newFleet(t, 1, 7, 3)
	f.agents[upstreamAt(2)].down = true
	opened := func() int {
		n := 0
		for _, ag := range f.agents {
			n += ag.opened
		}
		return n
	}
	for i := range 50 {
		f.open(0, callerKey(i))
		f.run(50 * time.Millisecond)
		require.Equal(t, i+1, opened(), "flow %d opened within 50 ms", i)
	}
}

// TestNewFlowsAvoidUpstreamsThatAcceptNone: no new flow is sent to an upstream that
// accepts none.
// TestUnavailableUpstreamIsNoSilentHost: a host whose agent reports that its upstream is
// gone gets no new flows, but it does respond.
func TestUnavailableUpstreamIsNoSilentHost(t *testing.T) {
	var d gddispatch.Dispatcher
	var state gddiscovery.State
	require.True(t, state.Load(start, update(3, 3, nil)))
	d.SetView(start, state.View())
	d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{1})
	info := gddispatch.ReturnInfo{From: upstreamAt(0), Reason: gdguard.Exited}
	d.HandleReturned(start, info, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{1})
	require.Equal(t, 1, d.Suspects(start))
	require.Zero(t, d.SilentHosts())
}

func TestNewFlowsAvoidUpstreamsThatAcceptNone(t *testing.T) {
	out := gddiscovery.Change{Subject: gddiscovery.Subject{Kind: gddiscovery.Evacuation, Name: "out"}, Revision: 60}
	u := update(8, 3, func(i int, u *gddiscovery.Upstream) {
		u.Draining = i < 2
		if i >= 2 && i < 4 {
			u.Domain = "out"
		}
	})
	u.Changes = append(u.Changes, out)
	var state gddiscovery.State
	require.True(t, state.Load(start, u))
	var d gddispatch.Dispatcher
	d.SetView(start, state.View())
	for i := range 200 {
		p := gdflow.NewPacket(callerKey(i), gdflow.Open)
		for _, a := range d.HandleCallerPacket(start, p, []byte{0}) {
			require.Equal(t, gddispatch.Forward, a.Verb)
			for j := range 4 {
				require.NotEqual(t, upstreamAt(j), a.To)
			}
			require.True(t, a.Header.Status.AcceptsNew)
			require.Equal(t, gddiscovery.Revision(100), a.Header.Status.Revision)
		}
	}
}

// TestAgentsAreNotifiedOfStatusChanges: an entry host that was paused acts on an old
// view, and the agent refuses what it sends.
func TestAgentsAreNotifiedOfStatusChanges(t *testing.T) {
	var state gddiscovery.State
	require.True(t, state.Load(start, update(3, 3, nil)))
	var awake, paused gddispatch.Dispatcher
	require.Empty(t, awake.SetView(start, state.View()), "the first view has no changes")
	paused.SetView(start, state.View())
	u := update(3, 3, func(_ int, u *gddiscovery.Upstream) { u.Draining = true })
	require.True(t, state.Apply(start, gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{{
		Subject: u.Changes[1].Subject, Revision: 101, Upstream: u.Changes[1].Upstream,
	}}}))
	statuses := awake.SetView(start, state.View())
	require.Len(t, statuses, 1)
	require.Equal(t, gddispatch.SendStatus, statuses[0].Verb)
	require.Equal(t, upstreamAt(0), statuses[0].To)
	agent := gdguard.Guard{Service: "booking", ObservedFromStart: true}
	agent.UpdateStatus(start, statuses[0].Header)
	p := gdflow.NewPacket(callerKey(1), gdflow.Open)
	sent := paused.HandleCallerPacket(start, p, []byte{0})[0]
	require.Equal(t, gdguard.Draining, agent.HandleEntryPacket(start, entryAt(1), sent.Header, p)[0].Reason)
}

// TestAgentsAreNotifiedOfRestarts: a restarted upstream is cold, and its agent limits the
// flows that it gets.
func TestAgentsAreNotifiedOfRestarts(t *testing.T) {
	var state gddiscovery.State
	require.True(t, state.Load(start, update(3, 3, nil)))
	var d gddispatch.Dispatcher
	d.SetView(start, state.View())
	u := update(3, 3, func(_ int, u *gddiscovery.Upstream) { u.StartUnixMilli, u.ColdFor = 77, 2*time.Second })
	require.True(t, state.Apply(start, gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{{
		Subject: u.Changes[2].Subject, Revision: 101, Upstream: u.Changes[2].Upstream,
	}}}))
	statuses := d.SetView(start, state.View())
	require.Len(t, statuses, 1)
	require.Equal(t, upstreamAt(1), statuses[0].To)
	require.Equal(t, int64(77), statuses[0].Header.Status.StartUnixMilli)
	require.Equal(t, 2*time.Second, statuses[0].Header.Status.ColdLeft)
}

func TestFlowWithoutRouteOrUpstreamIsResetAtOnce(t *testing.T) {
	var state gddiscovery.State
	require.True(t, state.Load(start, update(0, 3, nil)))
	var d gddispatch.Dispatcher
	p := gdflow.NewPacket(callerKey(1), gdflow.Open)
	require.Equal(t, gddispatch.Waiting, d.HandleCallerPacket(start, p, nil)[0].Reason)
	require.Equal(t, gddispatch.NoUpstream, d.SetView(start, state.View())[0].Reason)
	require.Equal(t, gddispatch.NoUpstream, d.HandleCallerPacket(start, p, nil)[0].Reason)
	p = gdflow.NewPacket(gdflow.NewKey(callerKey(1).Caller(), serviceAt.WithPort(1)), gdflow.Open)
	require.Equal(t, gddispatch.NoRoute, d.HandleCallerPacket(start, p, nil)[0].Reason)
}

// TestForwardingAllocatesNothing: forwarding a packet of a known flow allocates no memory.
func TestForwardingAllocatesNothing(t *testing.T) {
	f := newFleet(t, 1, 7, 3)
	f.open(0, callerKey(1))
	f.run(time.Second)
	e := f.entries[entryAt(0)]
	p := gdflow.NewPacket(callerKey(1), gdflow.Data)
	raw := make([]byte, 100)
	require.Zero(t, testing.AllocsPerRun(1000, func() { e.core.HandleCallerPacket(f.now, p, raw) }))
}

// TestLookupTimeIsReported: the time from the offer to its answer is reported once per
// flow.
func TestLookupTimeIsReported(t *testing.T) {
	f := newFleet(t, 1, 2, 1)
	var reported []time.Duration
	f.entries[entryAt(0)].core.OnResolved = func(took time.Duration) { reported = append(reported, took) }
	f.open(0, callerKey(1))
	f.run(time.Second)
	f.request(0, callerKey(1))
	f.run(time.Second)
	require.Equal(t, []time.Duration{2 * hop}, reported)
}
