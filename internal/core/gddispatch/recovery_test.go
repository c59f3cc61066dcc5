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

// TestRegistrationsDuringLookups: after a power loss, upstreams register one after
// the other, so that agents are always ahead of an entry host. A lookup must still
// end, as soon as the host's view has the revision that was known when the last
// upstream answered.
func TestRegistrationsDuringLookups(t *testing.T) {
	const upstreams = 12
	f := newFleet(t, 1, upstreams, 2)
	e := f.entries[entryAt(0)]
	var state gddiscovery.State
	u := update(upstreams, 2, nil)
	require.True(t, state.Load(f.now, u))
	for i := range 40 {
		revision := gddiscovery.Revision(101 + i)
		f.after(time.Duration(i)*25*time.Millisecond, func() {
			for _, ag := range f.agents {
				h := gdguard.Header{Service: gddiscovery.ServiceHash("booking"), Status: ag.guard.Status()}
				h.Status.Revision, h.Status.AcceptsNew, h.Status.Slots = revision, true, 2
				ag.guard.UpdateStatus(f.now, h)
			}
		})
		// The entry host receives the change 120 ms later.
		f.after(time.Duration(i)*25*time.Millisecond+120*time.Millisecond, func() {
			up := gddiscovery.Upstream{ID: upstreamAt(i % upstreams).String(), Service: "booking", Address: upstreamAt(i % upstreams), Slots: 2, StartUnixMilli: int64(revision)}
			state.Apply(f.now, gddiscovery.Update{Revision: revision, Changes: []gddiscovery.Change{{
				Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: up.ID}, Revision: revision, Upstream: &up,
			}}})
			e.core.SetView(f.now, state.View())
		})
	}
	for i := range 20 {
		f.after(time.Duration(200+20*i)*time.Millisecond, func() { f.request(0, callerKey(i)) })
	}
	f.run(900 * time.Millisecond) // agents stay ahead
	require.Len(t, f.resets, 20)
}

// TestPacketsWaitForTheFirstView: after a power loss, routers send packets to a host
// that is still loading the state. It decides on them as soon as it has a view.
func TestPacketsWaitForTheFirstView(t *testing.T) {
	var state gddiscovery.State
	require.True(t, state.Load(start, update(3, 3, nil)))
	var d gddispatch.Dispatcher
	raw := []byte{1}
	open := gdflow.NewPacket(callerKey(1), gdflow.Open)
	require.Equal(t, gddispatch.Waiting, d.HandleCallerPacket(start, open, raw)[0].Reason)
	raw[0] = 2 // the buffer is reused
	late := start.Add(100 * time.Millisecond)
	require.Equal(t, gddispatch.Waiting, d.HandleCallerPacket(late, gdflow.NewPacket(callerKey(2), gdflow.Open), raw)[0].Reason)
	d.ConfirmView(late, time.Time{})
	actions := d.SetView(start.Add(200*time.Millisecond), state.View())
	require.Len(t, actions, 1, "the caller retransmits the first by now")
	require.Equal(t, gddispatch.Forward, actions[0].Verb)
	require.Equal(t, callerKey(2), actions[0].Key)
	require.Equal(t, []byte{2}, actions[0].Packet)
	require.Empty(t, d.SetView(start.Add(300*time.Millisecond), state.View()), "packets are released once")

	var full gddispatch.Dispatcher
	for i := range 300 {
		want := gddispatch.Waiting
		if i >= 256 {
			want = gddispatch.NotReady
		}
		require.Equal(t, want, full.HandleCallerPacket(start, gdflow.NewPacket(callerKey(i), gdflow.Open), raw)[0].Reason)
	}
}

// TestNewFlowsAreRefusedWithoutView answers the pattern of a loss of power during an outage
// of the source: nobody knows the routes, and callers are told at once that their requests
// have not run.
func TestNewFlowsAreRefusedWithoutView(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration // since the start of the host
		kind   gdflow.Kind
		copies uint32 // sent before
		want   gddispatch.Verb
	}{
		{"view may come soon", 100 * time.Millisecond, gdflow.Open, 0, gddispatch.Drop},
		{"view does not come", 400 * time.Millisecond, gdflow.Open, 0, gddispatch.Reset},
		{"another host may have offered an earlier copy", 400 * time.Millisecond, gdflow.Open, 1, gddispatch.Drop},
		{"an upstream may hold the flow", 400 * time.Millisecond, gdflow.Data, 0, gddispatch.Drop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := gddispatch.Dispatcher{StartedAt: start}
			p := gdflow.NewPacket(callerKey(1), tt.kind)
			p.Ack = tt.copies
			a := d.HandleCallerPacket(start.Add(tt.after), p, []byte{1})[0]
			require.Equal(t, tt.want, a.Verb)
			require.Equal(t, tt.want == gddispatch.Reset, a.Reason == gddispatch.NotReady)
		})
	}
}

// TestPowerLoss: all hosts restart, and all callers send packets on flows that no
// upstream holds any more. The load of the lookups must stay limited.
func TestPowerLoss(t *testing.T) {
	const flows, upstreams = 600, 46
	f := newFleet(t, 1, upstreams, 2)
	openAll(f, flows)
	for i := range upstreams {
		f.addAgent(i, true)
	}
	for i := range 4 {
		f.addEntry(i)
	}
	f.messages = 0
	for i := range flows {
		f.after(time.Duration(i)*2*time.Second/flows, func() { f.request(i%4, callerKey(i)) })
		// The caller retransmits the packet until the flow is reset.
		for _, d := range []time.Duration{200, 600, 1400} {
			f.after(time.Duration(i)*2*time.Second/flows+d*time.Millisecond, func() {
				if _, ended := f.resets[callerKey(i)]; !ended {
					f.request(i%4, callerKey(i))
				}
			})
		}
	}
	f.run(5 * time.Second)
	require.Len(t, f.resets, flows, "each caller may retry at once")
	require.Less(t, float64(f.messages)/flows, 2.5*upstreams, "each upstream is queried about once")
}

// TestPowerLossAtOnce: after a power loss with long flows, all callers retransmit
// within moments. Their flows must be reset soon.
func TestPowerLossAtOnce(t *testing.T) {
	const flows, upstreams, entries = 1200, 46, 4
	f := newFleet(t, 1, upstreams, 2)
	openAll(f, flows)
	for i := range upstreams {
		f.addAgent(i, true)
	}
	for i := range entries {
		f.addEntry(i)
	}
	f.messages = 0
	began := f.now
	for i := range flows {
		f.opened[callerKey(i)] = f.now.Add(time.Duration(i) * 400 * time.Millisecond / flows)
		f.after(f.opened[callerKey(i)].Sub(began), func() { f.request(i%entries, callerKey(i)) })
	}
	f.run(time.Second)
	require.Len(t, f.resets, flows)
	require.Less(t, f.latestReset, 50*time.Millisecond, "a fraction of the latency objective, so that the retry is in time")
	require.Less(t, float64(f.messages)/flows, 0.5*upstreams, "one query covers many flows")
}

// TestHostThatIsCutOff: an entry host reaches no agent while the routers still reach
// it. It must report that, refuse new flows at once, and recover soon after the agents
// respond.
func TestHostThatIsCutOff(t *testing.T) {
	for _, tc := range []struct {
		name      string
		silent    int // number of silent agents, of 12
		confirmed bool
		cutOff    bool
	}{
		{"all agents are silent", 12, false, true},
		{"all agents are silent, and the view is confirmed", 12, true, false},
		{"the agents of the own domain respond", 10, false, false},
		{"one agent is silent", 1, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1, 12, 2)
			e := f.entries[entryAt(0)]
			f.unconfirmed = !tc.confirmed
			for i := range tc.silent {
				f.agents[upstreamAt(i)].down = true
			}
			for i := range 100 {
				f.after(time.Duration(i)*16*time.Millisecond, func() { f.open(0, callerKey(i)) })
			}
			f.run(2 * time.Second)
			require.Equal(t, tc.cutOff, e.core.CutOff())
			f.open(0, callerKey(100))
			f.run(2 * hop)
			reason, reset := f.resets[callerKey(100)]
			require.Equal(t, tc.cutOff, reset && reason == gddispatch.CutOff)
			copied := gdflow.NewPacket(callerKey(101), gdflow.Open)
			copied.Ack = 1
			f.send(0, copied)
			f.run(2 * hop)
			require.NotContains(t, f.resets, callerKey(101), "another host may have offered the first transmission")

			for i := range tc.silent {
				f.agents[upstreamAt(i)].down = false
			}
			f.run(300 * time.Millisecond)
			require.False(t, e.core.CutOff())
			f.open(0, callerKey(102))
			f.run(300 * time.Millisecond)
			require.NotContains(t, f.resets, callerKey(102))
		})
	}
}

// TestRestartedAgentsDeliverEachPacketOnce: after a restart of the agents alone, only
// packets show which upstream holds a flow. Each packet must reach the upstream exactly
// once.
func TestRestartedAgentsDeliverEachPacketOnce(t *testing.T) {
	const flows, upstreams = 100, 20
	f := newFleet(t, 1, upstreams, 3)
	openAll(f, flows)
	for i := range upstreams {
		f.addAgent(i, false)
	}
	f.addEntry(1)
	before := f.served()
	for i := range flows {
		f.after(time.Duration(i)*10*time.Millisecond, func() { f.request(1, callerKey(i)) })
	}
	f.run(3 * time.Second)
	require.Empty(t, f.resets)
	require.Equal(t, flows, f.served()-before, "each packet arrives exactly once")
}
