package gdwait_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

// TestEarlyAnswers: an upstream fails a share of its requests at once while its health is good.
// It is suspected within a second of a hundred requests; cheap kinds and caches are not.
func TestEarlyAnswers(t *testing.T) {
	usually := func(int) time.Duration { return 39 * ms }
	failing := func(every int) func(int) time.Duration {
		return func(i int) time.Duration {
			if i%every == 0 {
				return ms
			}
			return 39 * ms
		}
	}
	tests := []struct {
		name          string
		before, after func(i int) time.Duration
		requests      int // after the change
		want          bool
	}{
		{"no change", usually, usually, 1000, false},
		{"fails every third", usually, failing(3), 100, true},
		{"fails every second one", usually, failing(2), 100, true},
		{"fails all", usually, failing(1), 20, true},
		{"fails one by chance", usually, failing(100), 1000, false},
		{"cheap kind", failing(1), failing(1), 1000, false},
		{"every third answer from a cache, as ever", failing(3), failing(3), 1000, false},
		{"answers from a cache for long", usually, failing(1), 4000, false},
		{"twice as fast", usually, func(int) time.Duration { return 20 * ms }, 1000, false},
		{"eight times slower", usually, func(int) time.Duration { return 312 * ms }, 100, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e gdwait.Estimator[int]
			now := start
			serve := func(n int, took func(i int) time.Duration) {
				for i := range n {
					e.Deliver(now, i, feed, 2)
					e.Answered(now.Add(took(i)), i)
					now = now.Add(took(i))
				}
			}
			serve(1000, tt.before)
			require.False(t, e.AnswersEarly(now))
			serve(tt.requests, tt.after)
			require.Equal(t, tt.want, e.AnswersEarly(now))
			require.False(t, e.AnswersEarly(now.Add(2*time.Second)), "it gets new flows again, to see")
		})
	}
}

// TestEarlyAnswersOfNewProcess: what was observed of a process that has ended doesn't count for
// the next one, and a cold upstream is compared with cold ones only.
func TestEarlyAnswersOfNewProcess(t *testing.T) {
	var e gdwait.Estimator[int]
	answer(&e, start, 100, feed, 39*ms)
	answer(&e, start, 20, feed, ms)
	require.True(t, e.AnswersEarly(start.Add(ms)))
	e.Clear()
	require.False(t, e.AnswersEarly(start.Add(ms)))

	e.SetUpstream(3, true)
	answer(&e, start, 100, feed, 400*ms)
	e.SetUpstream(3, false)
	answer(&e, start, 100, feed, 39*ms)
	require.False(t, e.AnswersEarly(start.Add(400*ms)))
}

// TestRejectionsAreNotEarly: a full queue rejects requests at once. Those never had a slot.
func TestRejectionsAreNotEarly(t *testing.T) {
	var e gdwait.Estimator[int]
	e.SetUpstream(2, false)
	answer(&e, start, 100, feed, 39*ms)
	now := start.Add(time.Second)
	for i := range 10 {
		e.Deliver(now, i, feed, 2)
	}
	for i := 10; i < 60; i++ {
		e.Deliver(now, i, feed, 2)
		require.True(t, e.Answered(now.Add(ms), i))
	}
	require.False(t, e.AnswersEarly(now.Add(ms)))
}
