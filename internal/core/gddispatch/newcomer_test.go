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
	const flows, upstreams, newcomer = 20, 3, 3
	registration := func(up gddiscovery.Upstream) gddiscovery.Update {
		return gddiscovery.Update{Revision: 101, Changes: []gddiscovery.Change{{
			Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: up.ID}, Revision: 101, Upstream: &up,
		}}}
	}
	change := registration(gddiscovery.Upstream{ID: upstreamAt(newcomer).String(), Service: "booking", Domain: "a", Address: upstreamAt(newcomer), Slots: flows})
	for _, tc := range []struct {
		reads  bool          // the host reaches the source
		beacon time.Duration // after the packets
	}{{true, 0}, {true, 150 * time.Millisecond}, {false, 150 * time.Millisecond}, {false, 900 * time.Millisecond}, {true, 3 * time.Second}} {
		t.Run(fmt.Sprintf("reads %t, beacon after %s", tc.reads, tc.beacon), func(t *testing.T) {
			f := newFleet(t, 0, upstreams+1, flows)
			var known gddiscovery.State
			require.True(t, known.Load(f.now, update(upstreams, flows, func(_ int, u *gddiscovery.Upstream) { u.Draining = true })))
			h := &lateHost{fleet: f}
			require.True(t, h.state.Load(f.now, update(upstreams, flows, func(_ int, u *gddiscovery.Upstream) { u.Draining = true })))
			f.view = h.state.View()
			h.entry = f.addEntry(1)
			require.True(t, known.Apply(f.now, change))
			f.view = known.View()
			f.addEntry(0)
			f.run(time.Second)
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
				h.apply(change)
				return h.core.VerifyView(f.now, requested)
			}
			f.after(tc.beacon, func() { h.apply(change) })
			for i := range flows {
				k := callerKey(i)
				f.request(1, k)
				for _, again := range []time.Duration{200, 600, 1400} { // the caller sends it again
					f.after(again*time.Millisecond, func() {
						if !f.requested(k) {
							f.request(1, k)
						}
					})
				}
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

// requested reports whether a request on the flow has reached its upstream.
func (f *fleet) requested(k gdflow.Key) bool {
	for _, ag := range f.agents {
		if ag.received[k] > 0 {
			return true
		}
	}
	return false
}
