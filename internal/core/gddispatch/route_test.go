package gddispatch_test

import (
	"slices"
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
		for at, want := range map[time.Duration]bool{0: false, settling - 1: false, settling: true} {
			now := start.Add(at)
			actions := slices.Clone(d.HandleCallerPacket(now, gdflow.NewPacket(callerKey(1), kind), []byte{0}))
			if kind == gdflow.Data {
				actions = append(actions, d.VerifyView(now, now)...)
			}
			reset := slices.ContainsFunc(actions, func(a gddispatch.Action) bool { return a.Verb == gddispatch.Reset })
			require.Equal(t, want, reset, "after %s", at)
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

// TestHostWithoutARouteResetsNoOpenFlow: configurations come in quick succession while the rotation changes, so
// that packets of open flows reach a host that does not know their route yet.
func TestHostWithoutARouteResetsNoOpenFlow(t *testing.T) {
	const (
		wait    = 10 * time.Millisecond // from the packet to what follows
		dropped = "dropped"
		reset   = "reset"
		found   = "forwarded"
	)
	withRoute := func(revision gddiscovery.Revision, routes []gddiscovery.Route) gddiscovery.Change {
		c := update(0, 3, nil).Changes[0]
		c.Revision, c.Config.Version, c.Config.Routes = revision, uint64(revision), routes
		return c
	}
	routes := update(0, 3, nil).Changes[0].Config.Routes
	data, opens, again := gdflow.NewPacket(callerKey(1), gdflow.Data), gdflow.NewPacket(callerKey(1), gdflow.Open), gdflow.NewPacket(callerKey(1), gdflow.Open)
	again.Ack = 1
	type host struct {
		gddispatch.Dispatcher
		state gddiscovery.State
	}
	configure := func(h *host, now time.Time, revision gddiscovery.Revision, routes []gddiscovery.Route) []gddispatch.Action {
		h.state.Apply(now, gddiscovery.Update{Revision: revision, Changes: []gddiscovery.Change{withRoute(revision, routes)}})
		return h.SetView(now, h.state.View())
	}
	for _, tc := range []struct {
		name   string
		before func(h *host) // the packet arrives
		packet gdflow.Packet
		then   func(h *host, now time.Time) []gddispatch.Action
		want   string
	}{
		{"nothing follows", nil, data, nil, dropped},
		{"view was verified just before", func(h *host) { h.VerifyView(start, start.Add(-1)) }, data, nil, dropped},
		{"view is verified after", nil, data, func(h *host, now time.Time) []gddispatch.Action { return h.VerifyView(now, start) }, reset},
		{"view is verified, as of before", nil, data, func(h *host, now time.Time) []gddispatch.Action {
			return h.VerifyView(now, start.Add(-1))
		}, dropped},
		{"a beacon says that the view was current after", nil, data, func(h *host, now time.Time) []gddispatch.Action {
			h.ConfirmView(now, time.Time{})
			return h.Tick(now.Add(time.Second))
		}, dropped},
		{"a beacon says that the view was current long after", nil, data, func(h *host, now time.Time) []gddispatch.Action {
			h.ConfirmView(now.Add(200*time.Millisecond), time.Time{})
			return h.Tick(now.Add(time.Second))
		}, reset},
		{"the route comes", nil, data, func(h *host, now time.Time) []gddispatch.Action { return configure(h, now, 300, routes) }, found},
		{"the route comes with the verification", nil, data, func(h *host, now time.Time) []gddispatch.Action {
			return append(slices.Clone(configure(h, now, 300, routes)), h.VerifyView(now, start)...)
		}, found},
		{"the route was removed while the flow was open", func(h *host) {
			configure(h, start, 300, routes)
			h.HandleCallerPacket(start, data, []byte{0})
			configure(h, start, 301, nil)
		}, data, nil, reset},
		{"first transmission of an opening packet", nil, opens, nil, reset},
		{"another host may have offered an earlier one", nil, again, nil, dropped},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h host
			u := update(3, 3, nil)
			u.Changes[0] = withRoute(1, nil)
			require.True(t, h.state.Load(start.Add(-time.Minute), u))
			h.SetView(start, h.state.View())
			h.ConfirmView(start, time.Time{})
			if tc.before != nil {
				tc.before(&h)
			}
			actions := slices.Clone(h.HandleCallerPacket(start, tc.packet, []byte{0}))
			if tc.then != nil {
				actions = append(actions, tc.then(&h, start.Add(wait))...)
			}
			for now := start.Add(wait); !h.NextTick().IsZero() && now.Before(start.Add(3*time.Second)); now = h.NextTick() {
				actions = append(actions, h.Tick(now)...)
			}
			got := dropped
			for _, a := range actions {
				switch a.Verb {
				case gddispatch.Reset:
					got = reset
				case gddispatch.Forward:
					got = found
				}
			}
			require.Equal(t, tc.want, got)
		})
	}
}
