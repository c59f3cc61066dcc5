package gddispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// TestRemovedRouteEndsLookups guards against lookups that count for good because the route of
// their flow was removed: from maxBufferedPackets on, a host holds no packet for a lookup any
// more and offers no flow. Packets of the flows arrive before each lookup's timeout or after it.
func TestRemovedRouteEndsLookups(t *testing.T) {
	const flows = 1100
	for _, early := range []bool{true, false} {
		var d gddispatch.Dispatcher
		var state gddiscovery.State
		u := update(20, 3, nil)
		require.True(t, state.Load(start, u))
		d.SetView(start, state.View())
		d.ConfirmView(start, time.Time{})
		for i := range flows {
			d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(i), gdflow.Data), []byte{0})
			d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(flows+i), gdflow.Open), []byte{0})
		}
		require.Equal(t, 2*flows, d.Lookups())

		next := update(20, 3, nil).Changes[0]
		next.Revision, next.Config.Version, next.Config.Routes = 200, next.Config.Version+1, nil
		require.True(t, state.Apply(start, gddiscovery.Update{Revision: 200, Changes: []gddiscovery.Change{next}}))
		d.SetView(start, state.View())
		now := start.Add(time.Millisecond)
		if !early {
			now = start.Add(10 * time.Second)
			d.Tick(now)
		}
		for i := range 2 * flows {
			actions := d.HandleCallerPacket(now, gdflow.NewPacket(callerKey(i), gdflow.Data), []byte{0})
			require.Equal(t, gddispatch.NoRoute, actions[0].Reason)
		}
		require.Zero(t, d.Lookups())
		d.Tick(now.Add(10 * time.Second))
		require.Zero(t, d.Lookups())
	}
}

// TestCopyMayLackARoute guards against resets of a route's open flows by a host that was started
// after the source was restored, and knows only a copy without the route until another host
// tells it.
func TestCopyMayLackARoute(t *testing.T) {
	const settling = 600 * time.Millisecond
	var d gddispatch.Dispatcher
	var state gddiscovery.State
	u := update(3, 3, nil)
	config := *u.Changes[0].Config
	u.Changes[0].Config = &gddiscovery.Config{Version: config.Version, Services: config.Services}
	u.Revision = gddiscovery.NewRevision(1, 100)
	require.True(t, state.Load(start, u))
	require.Equal(t, settling, state.SettlingLeft(start))
	d.SetView(start, state.View())
	d.ConfirmView(start, start.Add(settling))
	for _, kind := range []gdflow.Kind{gdflow.Open, gdflow.Data} {
		for at, want := range map[time.Duration]gddispatch.Verb{0: gddispatch.Drop, settling - 1: gddispatch.Drop, settling: gddispatch.Reset} {
			actions := d.HandleCallerPacket(start.Add(at), gdflow.NewPacket(callerKey(1), kind), []byte{0})
			require.Len(t, actions, 1)
			require.Equal(t, want, actions[0].Verb, "after %s", at)
		}
	}
	learnt := state.View().Revision()
	state.Apply(start, gddiscovery.Update{Revision: learnt, Changes: []gddiscovery.Change{{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Configuration}, Revision: learnt,
		Config: &gddiscovery.Config{Version: config.Version + 1, Routes: config.Routes, Services: config.Services},
	}}})
	d.SetView(start, state.View())
	actions := d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{0})
	require.Equal(t, gddispatch.Forward, actions[0].Verb)
}
