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

// TestCopyOfAcceptedFlowIsNotReset: the first three upstreams by rank are away, and the fourth
// accepts the flow. The acceptance is lost, all upstreams get busy, and a copy of the
// opening packet comes through another entry host. The load is three times what twelve slots bear.
func TestCopyOfAcceptedFlowIsNotReset(t *testing.T) {
	f := newFleet(t, 4, 6, 2)
	k := callerKey(7000)
	holder := func() int {
		return slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, func(i int) bool { return !f.agents[upstreamAt(i)].down && len(f.agents[upstreamAt(i)].held) > 0 })
	}
	for range 3 {
		f.open(0, k)
		f.run(250 * time.Millisecond)
		f.agents[upstreamAt(holder())].down = true
		f.addEntry(0)
	}
	f.open(0, k)
	f.run(250 * time.Millisecond)
	fourth := f.agents[upstreamAt(holder())]
	for i := range 6 {
		if f.agents[upstreamAt(i)].down {
			f.addAgent(i, true)
		}
	}
	f.after(300*time.Millisecond, func() {
		p := gdflow.NewPacket(k, gdflow.Open)
		p.Ack = 1
		f.send(1, p)
	})
	offered(f, 3)
	require.Contains(t, fourth.held, k)
	require.NotContains(t, f.resets, k)
}

// TestRefusalsAreTrue: a flow is reset only if no upstream can have accepted it. The three
// upstreams refuse whatever they are asked, with a wait of 200 ms.
func TestRefusalsAreTrue(t *testing.T) {
	const wait = 200 * time.Millisecond
	t.Run("a copy whose first transmission went elsewhere", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 1, wait, wait, wait, wait)
		require.Nil(t, e.reset)
		require.Zero(t, e.d.Lookups())
	})
	t.Run("a copy whose first transmission was refused here", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, wait, wait, wait, wait)
		e.open(start.Add(wait), 1, 1, wait, wait, wait, wait)
		require.NotNil(t, e.reset)
	})
	t.Run("the second copy, of which the first one went elsewhere", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, wait, wait, wait, wait)
		e.open(start.Add(3*wait), 1, 2, wait, wait, wait, wait)
		require.Nil(t, e.reset)
	})
	t.Run("the second copy of a flow that was accepted", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0)
		e.act(e.d.HandleAccepted(start, e.asked[0], callerKey(1)))
		e.open(start.Add(3*wait), 1, 2, wait, wait, wait, wait)
		require.Nil(t, e.reset)
	})
	t.Run("the caller sends data during the offers", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, wait, wait, wait)
		p := gdflow.NewPacket(callerKey(1), gdflow.Data)
		p.Size = 100
		e.d.HandleCallerPacket(start, p, []byte{1})
		info := gddispatch.ReturnInfo{From: e.asked[3], Wait: wait, Reason: gdguard.Busy}
		e.act(e.d.HandleReturned(start, info, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{1}))
		require.Nil(t, e.reset)
	})
	t.Run("an upstream has not answered the same transmission before", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, wait, wait)
		for now := start; e.d.Lookups() > 0; now = e.d.NextTick() {
			e.act(e.d.Tick(now))
		}
		e.open(start.Add(wait), 1, 0, wait, wait, wait)
		require.Nil(t, e.reset)
	})
}

// TestDeferredFlowWithoutRoute: the route of a deferred flow is removed and added again.
func TestDeferredFlowWithoutRoute(t *testing.T) {
	view := func(routes bool) *gddiscovery.View {
		u := update(3, 2, nil)
		u.Changes[0].Config.Routes[0].LatencyObjective = 0
		if !routes {
			u.Changes[0].Config.Routes = nil
		}
		var state gddiscovery.State
		require.True(t, state.Load(start, u))
		return state.View()
	}
	e := &told{t: t}
	e.d.SetView(start, view(true))
	e.open(start, 1, 0, 0, 0, 0, 0)
	require.Equal(t, 1, e.d.Lookups())
	e.d.SetView(start, view(false))
	e.act(e.d.Tick(start.Add(time.Second)))
	require.Zero(t, e.d.Lookups())
	e.d.SetView(start, view(true))
	e.open(start.Add(time.Second), 1, 1)
	require.NotEmpty(t, e.asked)
}
