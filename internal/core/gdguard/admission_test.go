package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const ms = time.Millisecond

// classHeader returns the header of an opening packet of a route, for an upstream with slots.
func classHeader(slots uint8, forced bool, c gdguard.RouteClass) gdguard.Header {
	h := header(5)
	h.Status.Slots, h.Forced, h.Class = slots, forced, c
	return h
}

// serve opens a flow of a route at an upstream with a free slot, which answers its request.
func serve(t *testing.T, g *gdguard.Guard, now time.Time, i int, c gdguard.RouteClass, took time.Duration) {
	t.Helper()
	h := classHeader(2, false, c)
	require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, h, openPacket(i))).Verb)
	g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 7, 1, 0))
	g.HandleEntryPacket(now, entry, h, packet(i, gdflow.Data, 1, 8, 50))
	g.HandleUpstreamPacket(now.Add(took), packet(i, gdflow.Data, 8, 51, 100))
}

// again delivers the next request on a flow that was served.
func again(g *gdguard.Guard, now time.Time, i int) {
	g.HandleEntryPacket(now, entry, header(5), packet(i, gdflow.Data, 51, 108, 50))
}

// TestFlowsAreLetInByTheirWait: the upstream has two slots, and requests take 20 ms. The
// objective is 120 ms, so that a request should begin within 40 ms.
func TestFlowsAreLetInByTheirWait(t *testing.T) {
	feed := gdguard.RouteClass{Objective: 120 * ms, Timeout: 600 * ms, Priority: 2}
	for _, tt := range []struct {
		name     string
		busy     int // requests at the upstream
		slots    uint8
		forced   bool
		class    gdguard.RouteClass
		copies   uint32
		accepted bool
		wait     time.Duration
	}{
		{"a slot is free", 1, 2, false, feed, 0, true, 0},
		{"an upstream with a free slot goes first", 2, 2, false, feed, 0, false, 20 * ms},
		{"in time", 4, 2, true, feed, 0, true, 0},
		{"late", 5, 2, true, feed, 0, false, 50 * ms},
		{"late, and the first copy was lost", 4, 2, true, feed, 1, false, 40 * ms},
		{"late, and a newcomer could still be in time", 2, 2, true, feed, 1, true, 0},
		{"late, and its caller has given up", 2, 2, true, feed, 2, false, 20 * ms},
		{"a longer objective", 10, 2, true, gdguard.RouteClass{Objective: 400 * ms, Timeout: time.Second, Priority: 2}, 0, true, 0},
		{"an objective longer than the deadline", 10, 2, true, gdguard.RouteClass{Objective: 400 * ms, Timeout: 120 * ms, Priority: 2}, 0, false, 100 * ms},
		{"late because of less urgent ones", 9, 2, true, gdguard.RouteClass{Objective: 120 * ms, Timeout: 600 * ms, Priority: 1}, 0, true, 0},
		{"late because of those as urgent", 9, 2, true, gdguard.RouteClass{Objective: 120 * ms, Timeout: 600 * ms, Priority: 2}, 0, false, 90 * ms},
		{"no slots", 0, 0, false, feed, 0, true, 0},
		{"no slots, and busy", 1, 0, false, feed, 0, false, 20 * ms},
		{"no objective: three a slot", 5, 2, true, gdguard.RouteClass{}, 0, true, 0},
		{"no objective, least urgent: no more", 6, 2, true, gdguard.RouteClass{}, 0, false, 64 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			for i := range 10 {
				serve(t, g, start.Add(-time.Second), 10+i, feed, 20*ms)
			}
			for i := range tt.busy {
				again(g, start, 10+i)
			}
			p := openPacket(1)
			p.Ack = tt.copies
			a := only(t, g.HandleEntryPacket(start, entry, classHeader(tt.slots, tt.forced, tt.class), p))
			if tt.accepted {
				require.Equal(t, gdguard.Deliver, a.Verb)
				return
			}
			require.Equal(t, gdguard.Busy, a.Reason)
			require.InDelta(t, float64(tt.wait), float64(a.Wait), float64(ms))
		})
	}
}

// TestIdleUpstreamIsAlwaysTried: an upstream whose requests took seconds, far more than any
// objective, gets the next flow as soon as a slot is free, and so the estimate recovers.
func TestIdleUpstreamIsAlwaysTried(t *testing.T) {
	feed := gdguard.RouteClass{Objective: 120 * ms, Timeout: 600 * ms, Priority: 2}
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	now := start
	wait := func(i int) time.Duration {
		for n := range 2 {
			again(g, now, i-n)
			defer g.HandleUpstreamPacket(now, packet(i-n, gdflow.Finish, 108, 101, 0))
		}
		return g.ExpectedWait(now)
	}
	for i := range 40 {
		serve(t, g, now, i, feed, 1900*ms)
		now = now.Add(1900 * ms)
	}
	require.Greater(t, wait(39), time.Second)
	for i := range 100 {
		serve(t, g, now, 100+i, feed, 20*ms)
		now = now.Add(20 * ms)
	}
	require.Less(t, wait(199), 60*ms, "20 ms, and half of the slots are for more urgent ones")
}

// TestSlowUpstreamServesForTheDeadline: each request takes longer than the objective, so that
// none can be in time. Late answers are better than none while callers wait for them.
func TestSlowUpstreamServesForTheDeadline(t *testing.T) {
	feed := gdguard.RouteClass{Objective: 120 * ms, Timeout: 900 * ms, Priority: 2}
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
	now := start
	for i := range 60 {
		serve(t, g, now, i, feed, 200*ms)
		now = now.Add(200 * ms)
	}
	accepted := 0
	for i := range 20 {
		if only(t, g.HandleEntryPacket(now, entry, classHeader(2, true, feed), openPacket(100+i))).Verb == gdguard.Deliver {
			accepted++
		}
	}
	require.Equal(t, 4, accepted, "two for the slots, and those that begin within 300 ms")
}

// TestFailingUpstreamLooksIdle: an upstream answers all requests at once with a failure, so that
// its slots are free. New flows go to others while one of these has room.
func TestFailingUpstreamLooksIdle(t *testing.T) {
	feed := gdguard.RouteClass{Objective: 250 * ms, Timeout: 1500 * ms, Priority: 1}
	suspicions := 0
	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true, OnEarlyAnswers: func(time.Time) { suspicions++ }}
	now := start
	for i := range 100 {
		serve(t, g, now, i, feed, 39*ms)
		now = now.Add(39 * ms)
	}
	for i := range 10 {
		again(g, now, i)
		now = now.Add(ms)
		g.HandleUpstreamPacket(now, packet(i, gdflow.Data, 108, 101, 100))
	}
	a := only(t, g.HandleEntryPacket(now, entry, classHeader(2, false, feed), openPacket(200)))
	require.Equal(t, gdguard.Return, a.Verb)
	require.Equal(t, gdguard.Busy, a.Reason)
	require.GreaterOrEqual(t, a.Wait, feed.Timeout, "any other upstream is asked first")
	require.Equal(t, 1, suspicions)
	a = only(t, g.HandleEntryPacket(now, entry, classHeader(2, true, feed), openPacket(200)))
	require.Equal(t, gdguard.Deliver, a.Verb, "all others are busy")
	now = now.Add(2 * time.Second)
	a = only(t, g.HandleEntryPacket(now, entry, classHeader(2, false, feed), openPacket(201)))
	require.Equal(t, gdguard.Deliver, a.Verb, "it may have recovered")
}
