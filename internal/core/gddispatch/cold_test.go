package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// TestColdLimit guards against a cold upstream that gets no limit because the configured one is a
// fraction: agents get whole flows per second, and 0 stands for none.
func TestColdLimit(t *testing.T) {
	for _, tt := range []struct {
		perSecond float64
		want      uint16
	}{{-1, 0}, {0, 0}, {1e-9, 1}, {0.8, 1}, {1, 1}, {2.5, 2}, {20, 20}, {1e9, 65535}} {
		var state gddiscovery.State
		u := update(1, 3, nil)
		u.Changes[0].Config.Services[0].ColdFlowsPerSecond = tt.perSecond
		require.True(t, state.Load(start, u))
		var d gddispatch.Dispatcher
		d.SetView(start, state.View())
		d.ConfirmView(start, time.Time{})
		actions := d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{1})
		require.Len(t, actions, 1)
		require.Equal(t, tt.want, actions[0].Header.Status.ColdFlowsPerSecond, "%v a second", tt.perSecond)
	}
}
