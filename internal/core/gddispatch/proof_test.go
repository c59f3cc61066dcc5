package gddispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestStaleViewProvesNothing: an entry host whose view was not verified since it got a packet of the flow, or
// is older than an agent's, may not know the upstream that holds a flow.
func TestStaleViewProvesNothing(t *testing.T) {
	const packetAt = time.Second // after the start
	tests := []struct {
		name      string
		confirmed time.Duration        // after the start, for a view whose age comes from a beacon
		verified  time.Duration        // after the start, or 0
		settledIn time.Duration        // from the packet
		revision  gddiscovery.Revision // reported by the agents
		want      gddispatch.Verb
	}{
		{"view was verified after the packet", 0, packetAt, 0, 100, gddispatch.Reset},
		{"view was current long after the packet", packetAt + 200*time.Millisecond, 0, 0, 100, gddispatch.Reset},
		{"view was current with the packet", packetAt, 0, 0, 100, gddispatch.Drop},
		{"view was verified just before the packet", packetAt, packetAt - 1, 0, 100, gddispatch.Drop},
		{"view is recent", packetAt - 100*time.Millisecond, 0, 0, 100, gddispatch.Drop},
		{"view is old", packetAt - 3*time.Second, 0, 0, 100, gddispatch.Drop},
		{"an agent is ahead", packetAt, packetAt, 0, 101, gddispatch.Drop},
		{"an agent knows a later era", packetAt, packetAt, 0, gddiscovery.NewRevision(1, 3), gddispatch.Drop},
		{"source was restored a second ago", packetAt, packetAt, 2 * time.Second, 100, gddispatch.Drop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d gddispatch.Dispatcher
			var state gddiscovery.State
			require.True(t, state.Load(start, update(3, 3, nil)))
			d.SetView(start, state.View())
			now := start.Add(packetAt)
			d.ConfirmView(start.Add(tt.confirmed), now.Add(tt.settledIn))
			p := gdflow.NewPacket(callerKey(5), gdflow.Data)
			var last gddispatch.Action
			verified := tt.verified == 0
			for pending := slices.Clone(d.HandleCallerPacket(now, p, []byte{0})); last.Verb != gddispatch.Reset && last.Verb != gddispatch.Drop; {
				if len(pending) == 0 {
					now = d.NextTick()
					pending = slices.Clone(d.Tick(now)) // the lookup waits for a newer view
					continue
				}
				last, pending = pending[0], pending[1:]
				switch {
				case last.Verb == gddispatch.Forward:
					info := gddispatch.ReturnInfo{From: last.To, Reason: gdguard.NotHeld, Revision: tt.revision}
					pending = append(pending, d.HandleReturned(now, info, p, []byte{0})...)
				case last.Verb == gddispatch.Verify && !verified:
					verified = true
					pending = append(pending, d.VerifyView(now, start.Add(tt.verified))...)
				}
			}
			require.Equal(t, tt.want, last.Verb)
			if tt.want == gddispatch.Drop && tt.settledIn == 0 && tt.revision == 100 {
				require.Greater(t, now.Sub(start.Add(packetAt)), time.Second, "in which a beacon verifies the view")
			}
		})
	}
}
