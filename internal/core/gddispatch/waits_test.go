package gddispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// offered plays flows at a steady rate for a second, as a multiple of what the upstreams bear.
func offered(f *fleet, load float64) int {
	capacity := 0
	for range f.agents {
		capacity += int(time.Second/f.work) * 2
	}
	flows := int(load * float64(capacity))
	for i := range flows {
		f.after(time.Duration(i)*time.Second/time.Duration(flows), func() { f.open(i%4, callerKey(i)) })
	}
	f.requestOnOpen = true
	f.run(2 * time.Second)
	return flows
}

// TestOverloadIsRefusedAtOnce offers 1.3 times and twice what twelve slots bear: what is
// accepted is answered in time, the slots stay full, and the rest is refused within a quarter of the
// objective, without asking each upstream for each flow.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, load := range []float64{1.3, 2} {
		f := newFleet(t, 4, 6, 2)
		flows := offered(f, load)
		require.Equal(t, flows, f.served()+len(f.resets), "each flow is served or refused")
		require.Greater(t, float64(f.served()), 0.97*float64(flows)/load, "the slots are full")
		require.Less(t, f.slowest, objective)
		require.Less(t, f.latestReset, objective/4)
		require.Less(t, float64(f.messages)/float64(flows), 12.0)
	}
}

// TestOverloadOfSlowUpstreams: the upstreams turn eight times slower, so that no request can be
// in time, and three times as many come as they bear. They stay busy, and nobody waits long.
func TestOverloadOfSlowUpstreams(t *testing.T) {
	f := newFleet(t, 4, 6, 2)
	f.work = 160 * time.Millisecond
	flows := offered(f, 3)
	require.Equal(t, flows, f.served()+len(f.resets), "each flow is served or refused")
	require.Greater(t, float64(f.served()), 0.9*float64(flows)/3)
	require.Less(t, f.latestReset, objective/4)
}

// TestDecisionsWithRoomDependOnNoObjective: with a load of 0.2 each flow goes to the upstream to
// which it goes without an objective.
func TestDecisionsWithRoomDependOnNoObjective(t *testing.T) {
	opened := func(withObjective bool) (counts []int, messages int) {
		f := newFleet(t, 4, 12, 2)
		if !withObjective {
			u := update(12, 2, nil)
			u.Changes[0].Config.Routes[0].LatencyObjective = 0
			var state gddiscovery.State
			require.True(t, state.Load(f.now, u))
			f.view = state.View()
			for i := range 4 {
				f.addEntry(i)
			}
		}
		require.Equal(t, offered(f, 0.2), f.served())
		for i := range 12 {
			counts = append(counts, f.agents[upstreamAt(i)].opened)
		}
		return counts, f.messages
	}
	counts, messages := opened(true)
	withoutCounts, withoutMessages := opened(false)
	require.Equal(t, withoutCounts, counts)
	require.Equal(t, withoutMessages, messages)
}

// told is an entry host whose three upstreams are busy.
type told struct {
	t *testing.T
	d gddispatch.Dispatcher
	// asked are the addresses to which the flow was offered last, and forced whether the last
	// one was asked to queue it.
	asked  []gdflow.Address
	forced bool
	reset  *gddispatch.Action
}

func newTold(t *testing.T) *told {
	e := &told{t: t}
	var state gddiscovery.State
	require.True(t, state.Load(start, update(3, 2, nil)))
	e.d.SetView(start, state.View())
	return e
}

func (e *told) act(actions []gddispatch.Action) {
	for _, a := range actions {
		switch a.Verb {
		case gddispatch.Forward:
			e.asked, e.forced = append(e.asked, a.To), a.Header.Forced
		case gddispatch.Reset:
			e.reset = &a
		}
	}
}

// open offers a flow; each upstream that is asked refuses with a wait.
func (e *told) open(now time.Time, i, copies int, waits ...time.Duration) {
	e.asked, e.forced, e.reset = nil, false, nil
	p := gdflow.NewPacket(callerKey(i), gdflow.Open)
	p.Ack = uint32(copies)
	e.act(e.d.HandleCallerPacket(now, p, []byte{1}))
	for n, w := range waits {
		require.Len(e.t, e.asked, n+1)
		info := gddispatch.ReturnInfo{From: e.asked[n], Wait: w, Reason: gdguard.Busy}
		e.act(e.d.HandleReturned(now, info, p, []byte{1}))
	}
}

// route changes the needs of the flows that come next.
func (e *told) route(priority int, timeout time.Duration) {
	u := update(3, 2, nil)
	u.Changes[0].Config.Routes[0].Priority, u.Changes[0].Config.Routes[0].Timeout = priority, timeout
	var state gddiscovery.State
	require.True(e.t, state.Load(start, u))
	e.d.SetView(start, state.View())
}

// TestUrgentWaitsInABurst: flows of a frequent kind are refused all the time. An urgent flow still
// knows what the one before it was told, and goes to the least wait without asking for a free slot.
func TestUrgentWaitsInABurst(t *testing.T) {
	const ms = time.Millisecond
	e := newTold(t)
	e.route(1, time.Second)
	e.open(start, 1, 0, 30*ms, 20*ms, 25*ms)
	least := e.asked[3]
	e.route(2, time.Second)
	e.open(start.Add(5*ms), 2, 0, 90*ms)
	e.route(1, time.Second)
	e.open(start.Add(10*ms), 3, 0)
	require.Equal(t, []gdflow.Address{least}, e.asked)
	require.True(t, e.forced)
}

// TestToldWaits: what an entry host does with the waits that agents tell. The objective is 120 ms,
// so that a flow is queued that begins within 40 ms.
func TestToldWaits(t *testing.T) {
	const ms = time.Millisecond
	t.Run("the least wait is asked to queue the flow", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 30*ms, 20*ms, 25*ms)
		require.Len(t, e.asked, 4)
		require.True(t, e.forced)
		require.Equal(t, e.asked[1], e.asked[3])
		require.Nil(t, e.reset)
	})
	t.Run("the next flow is offered as soon as one expects room", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 80*ms, 50*ms, 70*ms, 55*ms)
		require.Equal(t, 55*ms, e.reset.Wait)
		e.open(start.Add(5*ms), 2, 0)
		require.Empty(t, e.asked)
		e.open(start.Add(20*ms), 2, 0)
		require.Len(t, e.asked, 1)
		require.True(t, e.forced, "only the one that expects room is asked")
	})
	t.Run("nobody expects room, also for the next flow", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 200*ms, 190*ms, 250*ms, 180*ms)
		require.Equal(t, gddispatch.Overloaded, e.reset.Reason)
		require.Equal(t, 180*ms, e.reset.Wait)
		e.open(start.Add(10*ms), 2, 0)
		require.Equal(t, gddispatch.Overloaded, e.reset.Reason)
		require.Empty(t, e.asked)
		e.open(start.Add(10*ms), 3, 1, 200*ms)
		require.Len(t, e.asked, 2, "a copy is offered, since the first one may have been accepted")
	})
	t.Run("absurd waits are forgotten", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, time.Hour, time.Hour, -time.Hour, time.Hour)
		require.True(t, e.forced)
		e.open(start.Add(60*ms), 2, 0)
		require.Len(t, e.asked, 1)
		require.False(t, e.forced, "the next flow probes the upstream")
	})
	t.Run("a wait that is over is no reason not to ask", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 10*ms, 12*ms, 8*ms)
		e.open(start.Add(11*ms), 2, 0)
		require.False(t, e.forced)
	})
	t.Run("late and repeated refusals change nothing", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 200*ms, 190*ms, 250*ms, 180*ms)
		e.reset = nil
		info := gddispatch.ReturnInfo{From: e.asked[0], Wait: time.Hour, Reason: gdguard.Busy}
		e.act(e.d.HandleReturned(start.Add(ms), info, gdflow.NewPacket(callerKey(1), gdflow.Open), []byte{1}))
		require.Nil(t, e.reset)
		require.Len(t, e.asked, 4)
	})
	t.Run("an upstream that doesn't answer may have accepted the flow", func(t *testing.T) {
		e := newTold(t)
		e.open(start, 1, 0, 200*ms, 190*ms)
		for now := start; e.d.Lookups() > 0; now = e.d.NextTick() {
			e.act(e.d.Tick(now))
			require.Less(t, now.Sub(start), time.Second)
		}
		require.Nil(t, e.reset)
	})
}

// TestToldWaitsOfOtherRoutes: an upstream that refused a flow may let in one that is more urgent or
// whose caller waits longer, so such flows are offered. The objective is 120 ms.
func TestToldWaitsOfOtherRoutes(t *testing.T) {
	const ms = time.Millisecond
	for _, tt := range []struct {
		name     string
		priority int
		timeout  time.Duration
		asked    int
		forced   bool
	}{
		{"the same needs", 3, time.Second, 0, false},
		{"less urgent", 4, time.Second, 0, false},
		{"more urgent", 2, time.Second, 1, false},
		{"more urgent than any is meant to be", -1, time.Second, 1, false},
		{"its caller gives up earlier", 3, time.Second / 2, 0, false},
		{"its caller waits longer", 3, 2 * time.Second, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newTold(t)
			e.route(3, time.Second)
			e.open(start, 1, 0, 200*ms, 190*ms, 250*ms, 180*ms)
			e.route(tt.priority, tt.timeout)
			e.open(start.Add(10*ms), 2, 0)
			require.Len(t, e.asked, tt.asked)
			require.Equal(t, tt.forced, e.forced)
		})
	}
}

// TestWaitsOfAnyPriority: the configuration may hold any priority. Those that are out of the usual
// range share what is remembered with their neighbours.
func TestWaitsOfAnyPriority(t *testing.T) {
	const ms = time.Millisecond
	for _, priority := range []int{math.MinInt, -1, 0, 3, 4, math.MaxInt} {
		e := newTold(t)
		e.route(priority, time.Second)
		e.open(start, 1, 0, 200*ms, 190*ms, 250*ms, 180*ms)
		e.open(start.Add(10*ms), 2, 0)
		require.Equal(t, gddispatch.Overloaded, e.reset.Reason)
		require.Empty(t, e.asked, "the waits are remembered")
	}
}

// TestStatusTellsTheAgeOfTheView: the source is away, so that an upstream may have restarted since
// the view was current. Its agent can tell whether it has run for longer.
func TestStatusTellsTheAgeOfTheView(t *testing.T) {
	e := newTold(t)
	for _, a := range e.d.HandleCallerPacket(start, gdflow.NewPacket(callerKey(0), gdflow.Open), []byte{1}) {
		require.Zero(t, a.Header.Status.ViewAge, "it is not known")
	}
	e.d.ConfirmView(start, time.Time{})
	for i, age := range []time.Duration{1, time.Second, time.Hour} {
		for _, a := range e.d.HandleCallerPacket(start.Add(age), gdflow.NewPacket(callerKey(1+i), gdflow.Open), []byte{1}) {
			require.Equal(t, age, a.Header.Status.ViewAge)
		}
	}
}
