// Package gdshutdown drains a process that is shutting down, within its grace period.
//
// # Usage
//
//	elapsed, ok := gdshutdown.Drain{
//		Grace: grace, PollInterval: 20 * time.Millisecond, Start: start, Done: done,
//	}.Wait(ctx, work)
package gdshutdown

import (
	"context"
	"time"
)

// graceMargin is the remaining part of the grace period at which a process ends even if
// it has not drained.
const graceMargin = 500 * time.Millisecond

// Drain defines how a process drains.
type Drain struct {
	// Grace returns the grace period, which starts when the context ends.
	Grace func() time.Duration
	// PollInterval is the time between two calls of Done.
	PollInterval time.Duration
	// Start is called when the context has ended.
	Start func()
	// Done reports whether the process has drained. elapsed is the time since the
	// context ended.
	Done func(now time.Time, elapsed time.Duration) bool
}

// Wait waits until ctx ends and then until the process has drained or the grace period
// is nearly over. It returns the duration of the drain, and false if work ended before
// ctx.
func (d Drain) Wait(ctx, work context.Context) (elapsed time.Duration, ok bool) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return 0, false
	}
	start := time.Now()
	d.Start()
	t := time.NewTicker(d.PollInterval)
	defer t.Stop()
	for now := range t.C {
		if elapsed = now.Sub(start); elapsed > d.Grace()-graceMargin || d.Done(now, elapsed) {
			return elapsed, true
		}
	}
	return elapsed, true
}
