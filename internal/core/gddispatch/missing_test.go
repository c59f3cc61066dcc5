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

// TestDropSaysWhatWasMissing: a lookup without a result reports which upstreams did not
// answer and which revision the view lacks.
func TestDropSaysWhatWasMissing(t *testing.T) {
	tests := []struct {
		name     string
		silent   int // of three upstreams
		revision gddiscovery.Revision
		want     gddispatch.Missing
	}{
		{"an upstream is silent", 1, 100, gddispatch.Missing{Silent: 1}},
		{"the view is behind", 0, 101, gddispatch.Missing{Required: 101}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d gddispatch.Dispatcher
			var state gddiscovery.State
			require.True(t, state.Load(start, update(3, 3, nil)))
			d.SetView(start, state.View())
			d.ConfirmView(start, time.Time{})
			p := gdflow.NewPacket(callerKey(5), gdflow.Data)
			actions := d.HandleCallerPacket(start, p, []byte{0})
			const maxSteps = 50
			var got gddispatch.Missing
			for range maxSteps {
				if len(actions) == 0 {
					actions = d.Tick(d.NextTick())
					continue
				}
				a := actions[0]
				if a.Verb == gddispatch.Drop {
					got = a.Missing
					break
				}
				if a.Verb == gddispatch.Verify {
					actions = d.VerifyView(start, start)
					continue
				}
				actions = nil
				if tt.silent == 0 || a.To != upstreamAt(0) {
					info := gddispatch.ReturnInfo{From: a.To, Reason: gdguard.NotHeld, Revision: tt.revision}
					actions = d.HandleReturned(start, info, p, []byte{0})
				}
			}
			require.Positive(t, got.After)
			got.After = 0
			require.Equal(t, tt.want, got)
		})
	}
}
