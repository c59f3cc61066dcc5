package gdhostrig

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoopIsOver: what was in the middle of its run when the loop was stopped is done
// by then, so that a rig that has stopped tells its observer nothing more.
func TestLoopIsOver(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	l := newLoop(ctx)
	go l.run()
	began, done := make(chan struct{}), false
	l.post(func(time.Time) {
		close(began)
		<-ctx.Done()
		time.Sleep(10 * time.Millisecond)
		done = true
	})
	<-began
	stop()
	<-l.over
	require.True(t, done)
}
