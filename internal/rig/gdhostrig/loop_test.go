package gdhostrig

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoopStopsAfterRunningFunction checks that stopped is closed only after a function
// that was running has returned. Otherwise a stopped rig could still call its observer.
func TestLoopStopsAfterRunningFunction(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	l := newLoop(ctx)
	go l.run()
	started, done := make(chan struct{}), false
	l.post(func(time.Time) {
		close(started)
		<-ctx.Done()
		time.Sleep(10 * time.Millisecond)
		done = true
	})
	<-started
	stop()
	<-l.stopped
	require.True(t, done)
}
