package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// view returns the view of a deployment whose only route is for repeatable requests or not.
func view(t *testing.T, upstreams int, idempotent bool) *gddiscovery.View {
	t.Helper()
	u := update(upstreams, 3, nil)
	u.Changes[0].Config.Routes[0].Idempotent = idempotent
	var state gddiscovery.State
	require.True(t, state.Load(start, u))
	return state.View()
}

// last returns the last action.
func last(t *testing.T, actions []gddispatch.Action) gddispatch.Action {
	t.Helper()
	require.NotEmpty(t, actions)
	return actions[len(actions)-1]
}

// openAt opens a flow and returns the upstream that accepts it.
func openAt(t *testing.T, d *gddispatch.Dispatcher, now time.Time, k gdflow.Key) gdflow.Address {
	t.Helper()
	a := last(t, d.HandleCallerPacket(now, gdflow.NewPacket(k, gdflow.Open), []byte{1}))
	require.Equal(t, gddispatch.Forward, a.Verb)
	d.HandleAccepted(now, a.To, k)
	return a.To
}

func dataPacket(k gdflow.Key, seq uint32, size int) gdflow.Packet {
	p := gdflow.NewPacket(k, gdflow.Data)
	p.Seq, p.Ack, p.Size = seq, 500, size
	return p
}

// TestRequestsLeaveUnreachableHosts plays a failure domain that loses power or is cut off:
// callers send their requests again on open flows, and nothing answers. Repeatable
// requests are given up once the host is found unreachable, so that their callers try
// elsewhere at once and not at their deadlines.
func TestRequestsLeaveUnreachableHosts(t *testing.T) {
	tests := []struct {
		name               string
		idempotent         bool
		responded, control bool
		after              time.Duration // from the result to the next packet
		want               gddispatch.Verb
	}{
		{"host without power", true, false, true, 0, gddispatch.Reset},
		{"request that may have run", false, false, true, 0, gddispatch.Forward},
		{"agent restarts on a running host", true, true, true, 0, gddispatch.Forward},
		{"own link is at fault", true, false, false, 0, gddispatch.Forward},
		{"old result", true, false, true, 2 * time.Second, gddispatch.Forward},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d gddispatch.Dispatcher
			d.SetView(start, view(t, 7, tt.idempotent))
			held := openAt(t, &d, start, callerKey(1))
			other := openAt(t, &d, start, callerKey(2))
			for i := 3; other == held; i++ {
				other = openAt(t, &d, start, callerKey(i))
			}
			request := dataPacket(callerKey(1), 1, 100)
			require.Len(t, d.HandleCallerPacket(start, request, []byte{1}), 1)
			now := start.Add(200 * time.Millisecond)
			again := d.HandleCallerPacket(now, request, []byte{1})
			require.Equal(t, gddispatch.Action{Verb: gddispatch.Probe, To: held, Control: other}, again[0])
			require.Equal(t, gddispatch.Forward, again[1].Verb, "the first retransmission is still forwarded")
			d.HandleProbe(now, held, tt.responded, tt.control)

			now = now.Add(tt.after)
			ack := last(t, d.HandleCallerPacket(now, dataPacket(callerKey(1), 101, 0), []byte{1}))
			require.Equal(t, gddispatch.Forward, ack.Verb, "an answer may be under way")
			a := last(t, d.HandleCallerPacket(now, request, []byte{1}))
			require.Equal(t, tt.want, a.Verb)
			if tt.want == gddispatch.Reset {
				require.Equal(t, gddispatch.Unreachable, a.Reason)
				require.EqualValues(t, 500, a.Seq)
			}
		})
	}
}

// TestNewFlowsAvoidUnreachableHosts: no flow is offered to a host after its probe failed.
func TestNewFlowsAvoidUnreachableHosts(t *testing.T) {
	var d gddispatch.Dispatcher
	d.SetView(start, view(t, 7, true))
	d.HandleProbe(start, upstreamAt(3), false, true)
	for i := range 100 {
		require.NotEqual(t, upstreamAt(3), openAt(t, &d, start, callerKey(i)))
	}
}

// TestProbesAreRare: a host gets one probe for many retransmissions, and none without
// another host to compare it with.
func TestProbesAreRare(t *testing.T) {
	var d gddispatch.Dispatcher
	d.SetView(start, view(t, 1, true))
	probes := 0
	retransmit := func(flows int) {
		for i := range flows {
			for range 2 {
				for _, a := range d.HandleCallerPacket(start, dataPacket(callerKey(i), 1, 100), []byte{1}) {
					if a.Verb == gddispatch.Probe {
						probes++
					}
				}
			}
		}
	}
	for i := range 50 {
		openAt(t, &d, start, callerKey(i))
	}
	retransmit(50)
	require.Zero(t, probes)
	d.HandleHeld(start, upstreamAt(1), callerKey(99))
	retransmit(50)
	require.Equal(t, 1, probes)
}

// TestUnreachableHostHoldsNoRepeatableFlow plays the seconds after a power loss, in which
// some hosts are still without power: a flow that is nowhere else is proved gone.
func TestUnreachableHostHoldsNoRepeatableFlow(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		f := newFleet(t, 0, 7, 3)
		f.view = view(t, 7, idempotent)
		f.agents[upstreamAt(2)].down = true
		e := f.addEntry(0)
		e.core.HandleProbe(f.now, upstreamAt(2), false, true)
		f.request(0, callerKey(1))
		f.run(time.Second)
		if idempotent {
			require.Equal(t, gddispatch.FlowGone, f.resets[callerKey(1)])
		} else {
			require.Empty(t, f.resets)
		}
	}
}
