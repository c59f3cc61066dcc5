package gdwait_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdwait"
)

// TestQueueTime: an upstream with two slots and requests of 20 ms. Until it rejects one, its queue
// is at least as long as it was seen to be; one that holds very many may never reject any.
func TestQueueTime(t *testing.T) {
	var e gdwait.Estimator[int]
	e.SetUpstream(2, false)
	answer(&e, start, 20, feed, 20*ms)
	require.Zero(t, e.QueueTime(start))
	now := start.Add(time.Second)
	for i := range 22 {
		e.Deliver(now, i, feed, 2)
	}
	e.Answered(now.Add(20*ms), 0)
	require.Equal(t, 190*ms, e.QueueTime(now), "19 are left in the queue")

	for i := 12; i < 22; i++ {
		e.Remove(i)
	}
	now = now.Add(20 * ms)
	e.Deliver(now, 22, feed, 2)
	require.True(t, e.Answered(now.Add(ms), 22))
	require.Equal(t, 90*ms, e.QueueTime(now), "it rejected one with 9 in the queue")
	e.Clear()
	require.Zero(t, e.QueueTime(now), "the next process may have another one")
}
