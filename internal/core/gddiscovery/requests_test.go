package gddiscovery_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// TestNextRequest guards against a host that repeats a request which can't succeed: after an
// answer that can't be read, and after a lost history, the full state is loaded.
func TestNextRequest(t *testing.T) {
	rejected := errors.New("store returned status 503")
	for _, tt := range []struct {
		name     string
		failures []error
		full     bool
		delay    time.Duration
	}{
		{"none", nil, false, 0},
		{"rejected", []error{rejected}, false, 100 * time.Millisecond},
		{"rejected for long", []error{rejected, rejected, rejected, rejected, rejected, rejected}, false, 800 * time.Millisecond},
		{"history lost", []error{errors.Wrap(gddiscovery.ErrHistoryLost, "watch")}, true, 100 * time.Millisecond},
		{"unreadable", []error{errors.Wrap(gddiscovery.ErrUnreadable, "watch")}, true, 100 * time.Millisecond},
		{"unreadable, then rejected", []error{gddiscovery.ErrUnreadable, rejected}, true, 200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var q gddiscovery.Requests
			require.True(t, q.Next(false).Full(), "nothing was loaded yet")
			var delay time.Duration
			for _, err := range tt.failures {
				delay = q.Failed(q.Next(true), err)
			}
			require.Equal(t, len(tt.failures), q.Failures())
			require.Equal(t, tt.delay, delay)
			require.Equal(t, tt.full, q.Next(true).Full())
			q.Succeeded()
			require.Zero(t, q.Failures())
			require.False(t, q.Next(true).Full())
		})
	}
}

// TestLongLoads guards against a host that repeats a load which takes longer than its timeout. A
// source that does not answer gets no more time, so that the host tries again soon.
func TestLongLoads(t *testing.T) {
	silent := errors.New("no answer")
	for _, takes := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		var q gddiscovery.Requests
		elapsed := time.Duration(0)
		for r := q.Next(false); r.Timeout() < takes; r = q.Next(false) {
			elapsed += r.Timeout() + q.Failed(r, gddiscovery.Unreadable(errors.New("timeout")))
			require.Less(t, elapsed, 2*takes+3*time.Second)
		}
		require.Equal(t, 3*time.Second, afterFailure(&q, silent).Timeout())
		require.Equal(t, 6*time.Second, afterFailure(&q, gddiscovery.ErrUnreadable).Timeout())
		q.Succeeded()
		require.Equal(t, 3*time.Second, q.Next(false).Timeout())
	}
}

// TestWatchAfterLoadFails: a load that succeeded is not repeated because the watch after it failed,
// as with a store that answers slowly.
func TestWatchAfterLoadFails(t *testing.T) {
	var q gddiscovery.Requests
	q.Failed(q.Next(true), gddiscovery.ErrHistoryLost)
	r := q.Next(true)
	require.True(t, r.Full())
	q.Loaded()
	q.Failed(r, errors.New("no answer"))
	require.False(t, q.Next(true).Full())
}

// afterFailure returns the request after a load that has failed.
func afterFailure(q *gddiscovery.Requests, err error) gddiscovery.Request {
	q.Failed(q.Next(false), err)
	return q.Next(false)
}
