package gddispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// lateHost is an entry host that hears of changes later than the others.
type lateHost struct {
	*fleet
	state gddiscovery.State
	*entry
	verifications int
}

// apply applies changes of the source.
func (h *lateHost) apply(u gddiscovery.Update) {
	if h.state.Apply(h.now, u) {
		h.act(1, h.entry, h.core.SetView(h.now, h.state.View()))
	}
}

// TestLateHostResetsNoOpenFlow: an upstream registers, or the route moves to another service, and flows are opened
// there through an entry host that knows it. Packets move to a host that does not know it yet, and whose
// upstreams all answer that they don't hold the flow.
func TestLateHostResetsNoOpenFlow(t *testing.T) {
	const flows, upstreams, newcomer = 20, 4, 3
	before := func(moves bool) gddiscovery.Update {
		u := update(upstreams, flows, func(i int, u *gddiscovery.Upstream) {
			u.Draining = i != newcomer
			if i == newcomer {
				u.Service = "gallery"
			}
		})
		u.Changes[0].Config.Services = []gddiscovery.Service{{Name: "booking"}, {Name: "gallery"}}
		if !moves {
			u.Changes = u.Changes[:upstreams] // without the newcomer
		}
		return u
	}
	change := func(moves bool) gddiscovery.Update {
		u := update(upstreams, flows, nil)
		c := u.Changes[upstreams]
		if moves {
			c = u.Changes[0]
			c.Config.Version, c.Config.Routes[0].Shares, c.Config.Services = 2, onlyGallery, before(true).Changes[0].Config.Services
		}
		c.Revision = 101
		return gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{c}, EachChange: true}
	}
	for _, tc := range []struct {
		moves  bool          // the route moves to another service
		reads  bool          // the host reaches the source
		beacon time.Duration // after the packets
	}{
		{false, true, 0},
		{false, true, 150 * time.Millisecond},
		{false, false, 150 * time.Millisecond},
		{false, false, 900 * time.Millisecond},
		{false, true, 3 * time.Second},
		{true, true, 3 * time.Second},
		{true, false, 900 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("route moves %t, reads %t, beacon after %s", tc.moves, tc.reads, tc.beacon), func(t *testing.T) {
			f := newFleet(t, 0, upstreams, flows)
			var known gddiscovery.State
			h := &lateHost{fleet: f}
			require.True(t, known.Load(f.now, before(tc.moves)))
			require.True(t, h.state.Load(f.now, before(tc.moves)))
			f.run(historyTime)
			f.view = h.state.View()
			h.entry = f.addEntry(1)
			require.True(t, known.Apply(f.now, change(tc.moves)))
			f.view = known.View()
			f.addEntry(0)
			if tc.moves {
				f.agents[upstreamAt(newcomer)].guard.Service = "gallery"
			}
			for i := range flows {
				f.open(0, callerKey(i))
			}
			f.run(100 * time.Millisecond)
			require.Len(t, f.agents[upstreamAt(newcomer)].held, flows)

			f.unconfirmed = true
			f.verifies = func(e *entry, requested time.Time) []gddispatch.Action {
				if !tc.reads || e != h.entry {
					return nil
				}
				h.verifications++
				h.apply(change(tc.moves))
				return h.core.VerifyView(f.now, requested)
			}
			f.after(tc.beacon, func() { h.apply(change(tc.moves)) })
			for i := range flows {
				f.requestUntilReceived(1, callerKey(i))
			}
			f.run(2 * time.Second)
			require.Empty(t, f.resets)
			for i := range flows {
				require.True(t, f.requested(callerKey(i)), "flow %d", i)
			}
			require.LessOrEqual(t, h.verifications, 2, "one comparison is for all flows")
		})
	}
}

// requestUntilReceived sends a request on an open flow, and again as callers do while it has not reached its upstream.
func (f *fleet) requestUntilReceived(i int, k gdflow.Key) {
	f.request(i, k)
	for _, again := range []time.Duration{200, 600, 1400} {
		f.after(again*time.Millisecond, func() {
			if !f.requested(k) {
				f.request(i, k)
			}
		})
	}
}

// requested reports whether a request on the flow has reached its upstream.
func (f *fleet) requested(k gdflow.Key) bool {
	for _, ag := range f.agents {
		if ag.received[k] > 0 {
			return true
		}
	}
	return false
}
