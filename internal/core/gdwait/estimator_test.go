package gdwait_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

const ms = time.Millisecond

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// feed and order are the service addresses of two routes.
var (
	feed  = gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443)
	order = gdflow.AddressFrom([4]byte{198, 18, 0, 2}, 443)
)

// answer lets n requests of a kind run one after the other on an idle upstream.
func answer(e *gdwait.Estimator[int], now time.Time, n int, kind gdflow.Address, took time.Duration) {
	for i := range n {
		e.Deliver(now, -i, kind, 2)
		e.Answered(now.Add(took), -i)
	}
}

func TestWait(t *testing.T) {
	for _, tt := range []struct {
		name      string
		slots     int
		delivered []uint8 // the priorities of the requests that were delivered 5 ms ago
		expected  int     // requests of 20 ms that go first and have not arrived
		wait      time.Duration
		urgent    time.Duration // without the less urgent ones of the upstream's queue
	}{
		{"idle", 2, nil, 0, 0, 0},
		{"no slots count as one", 0, nil, 0, 0, 0},
		{"a slot is free", 2, []uint8{2}, 0, 0, 0},
		{"the free slot is about to be taken", 2, []uint8{2}, 1, 15 * ms, 15 * ms},
		{"the slots are taken", 2, []uint8{2, 2}, 0, 15 * ms, 15 * ms},
		{"two in the queue", 2, []uint8{2, 2, 2, 3}, 0, 35 * ms, 25 * ms},
		{"two in the queue, two on their way", 2, []uint8{2, 2, 3, 3}, 2, 55 * ms, 35 * ms},
		{"no slots and a queue", 0, []uint8{2, 2}, 0, 35 * ms, 35 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var e gdwait.Estimator[int]
			e.SetUpstream(tt.slots, false)
			for i, p := range tt.delivered {
				e.Deliver(start, i, feed, p)
			}
			expected := gdwait.Load{Requests: tt.expected, Time: time.Duration(tt.expected) * 20 * ms}
			require.Equal(t, tt.wait, e.Wait(start.Add(5*ms), 2, expected))
			require.Equal(t, tt.urgent, e.UrgentWait(start.Add(5*ms), 2, expected))
		})
	}
}

// TestUrgentArrivalsLengthenTheWait: 20 urgent requests a second of 20 ms use a fifth of two slots.
func TestUrgentArrivalsLengthenTheWait(t *testing.T) {
	var e gdwait.Estimator[int]
	e.SetUpstream(2, false)
	for i := range 60 {
		now := start.Add(time.Duration(i) * 50 * ms)
		e.Deliver(now, i, feed, 0)
		e.Answered(now.Add(20*ms), i)
	}
	now := start.Add(3 * time.Second)
	e.Deliver(now, 100, feed, 2)
	e.Deliver(now, 101, feed, 2)
	require.Equal(t, 20*ms, e.Wait(now, 0, gdwait.Load{}))
	require.InDelta(t, float64(25*ms), float64(e.Wait(now, 1, gdwait.Load{})), float64(ms))
}

// TestLoadDoesNotInflateSlotTimes offers 1.3 times and twice what two slots bear, of work
// times that vary by half, for ten seconds. The upstream's queue grows to seconds.
func TestLoadDoesNotInflateSlotTimes(t *testing.T) {
	const work = 16 * ms
	for _, load := range []float64{1.3, 2} {
		rnd := rand.New(rand.NewPCG(1, 2))
		var e gdwait.Estimator[int]
		e.SetUpstream(2, false)
		var free [2]time.Time
		answers := make(map[int]time.Time)
		gap := time.Duration(float64(work) / 2 / load)
		for i := range int(10 * time.Second / gap) {
			now := start.Add(time.Duration(i) * gap)
			for at := start; !at.IsZero(); {
				at = time.Time{}
				next := 0
				for id, a := range answers {
					if !a.After(now) && (at.IsZero() || a.Before(at)) {
						next, at = id, a
					}
				}
				if !at.IsZero() {
					e.Answered(at, next)
					delete(answers, next)
				}
			}
			e.Deliver(now, i, feed, 2)
			slot := 0
			if free[1].Before(free[0]) {
				slot = 1
			}
			if free[slot].Before(now) {
				free[slot] = now
			}
			free[slot] = free[slot].Add(work/2 + time.Duration(rnd.Int64N(int64(work))))
			answers[i] = free[slot]
		}
		now := start.Add(10 * time.Second)
		require.InDelta(t, float64(work), float64(e.SlotTime(now, feed)), float64(work)/4)
		first := min(free[0].Sub(now), free[1].Sub(now))
		require.InDelta(t, first.Seconds(), e.Wait(now, 2, gdwait.Load{}).Seconds(), first.Seconds()/4)
	}
}

// TestSlotTimeFollows: an upstream turns eight times slower, and faster again. Between two
// routes of one service the times stay apart.
func TestSlotTimeFollows(t *testing.T) {
	var e gdwait.Estimator[int]
	require.Equal(t, 20*ms, e.SlotTime(start, feed), "before the first answer")
	answer(&e, start, 50, feed, 5*ms)
	require.Equal(t, 5*ms, e.SlotTime(start, order), "nothing is known but another route")
	answer(&e, start, 50, order, 40*ms)
	require.InDelta(t, float64(5*ms), float64(e.SlotTime(start, feed)), float64(ms))
	require.InDelta(t, float64(40*ms), float64(e.SlotTime(start, order)), float64(4*ms))
	answer(&e, start, 36, feed, 40*ms)
	require.Greater(t, e.SlotTime(start, feed), 30*ms)
	answer(&e, start, 36, feed, 5*ms)
	require.Less(t, e.SlotTime(start, feed), 10*ms)
	answer(&e, start, 1, feed, 50*time.Second)
	require.Less(t, e.SlotTime(start, feed), 15*ms, "one answer after a pause of the host")
	answer(&e, start, 36, feed, 0)
	answer(&e, start, 100, feed, 5*ms)
	require.Greater(t, e.SlotTime(start, feed), 4*ms, "answers in no time don't fix the mean at 0")
	require.Equal(t, 20*ms, e.SlotTime(start.Add(2*time.Minute), feed), "nothing is remembered for longer")
}

// TestColdTimesStayApart: a cold upstream takes four times as long.
func TestColdTimesStayApart(t *testing.T) {
	var e gdwait.Estimator[int]
	answer(&e, start, 50, feed, 10*ms)
	e.SetUpstream(1, true)
	require.Equal(t, 10*ms, e.SlotTime(start, feed))
	answer(&e, start, 50, feed, 40*ms)
	require.InDelta(t, float64(40*ms), float64(e.SlotTime(start, feed)), float64(4*ms))
	e.SetUpstream(1, false)
	require.Equal(t, 10*ms, e.SlotTime(start, feed))
}

// TestWrongSlots: an upstream with one slot claims four. The times grow in proportion, so that
// the wait stays right.
func TestWrongSlots(t *testing.T) {
	var e gdwait.Estimator[int]
	e.SetUpstream(4, false)
	for i := range 400 {
		now := start.Add(time.Duration(i) * 20 * ms)
		e.Deliver(now, i, feed, 2)
		if i >= 7 { // eight requests are there
			e.Answered(now.Add(20*ms), i-7)
		}
	}
	wait := e.Wait(start.Add(8*time.Second), 2, gdwait.Load{})
	require.InDelta(t, float64(7*20*ms), float64(wait), float64(70*ms))
}

// TestHangingUpstream: nothing is answered, so that waits grow; once the requests are
// given up, the upstream has room again.
func TestHangingUpstream(t *testing.T) {
	var e gdwait.Estimator[int]
	e.Deliver(start, 1, feed, 2)
	e.Deliver(start, 2, feed, 2)
	require.Greater(t, e.Wait(start.Add(time.Second), 2, gdwait.Load{}), 900*ms)
	e.Remove(2)
	e.Remove(1)
	require.Zero(t, e.Wait(start.Add(2*time.Second), 2, gdwait.Load{}))
	e.Deliver(start, 3, feed, 2)
	e.Clear()
	require.Zero(t, e.Wait(start, 2, gdwait.Load{}), "the upstream restarts")
}

// TestRejections: an upstream with two slots holds six requests and rejects the next. Half of
// its queue is for those that are as urgent as the new one.
func TestRejections(t *testing.T) {
	var e gdwait.Estimator[int]
	e.SetUpstream(2, false)
	for i := range 7 {
		e.Deliver(start, i, feed, 2)
	}
	require.True(t, e.HasRoom(start, 2, 0))
	e.Answered(start.Add(ms), 6)
	now := start.Add(20 * ms)
	require.False(t, e.HasRoom(now, 0, 0))
	e.Answered(now, 0)
	require.True(t, e.HasRoom(now, 0, 0), "for an urgent one")
	require.False(t, e.HasRoom(now, 0, 1), "another one is on its way")
	require.False(t, e.HasRoom(now, 2, 0))
	e.Answered(now, 1)
	e.Answered(now, 2)
	require.True(t, e.HasRoom(now, 2, 0))
	require.True(t, e.HasRoom(start.Add(2*time.Second), 2, 9), "the limit is found anew")
}
