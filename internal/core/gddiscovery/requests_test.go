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
				delay = q.Failed(err)
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
