// Package gdshutdown lets a process that was told to end go on for as long as others need
// it, and no longer than its grace period.
//
// # Usage
//
//	passed, ok := gdshutdown.Leave{Grace: grace, Every: 20 * time.Millisecond, Begin: begin, Over: idle}.Wait(ctx, work)
package gdshutdown

import (
	"context"
	"time"
)

// margin is what is left of the grace period when a process ends anyway.
const margin = 500 * time.Millisecond

// Drain is how a process ends.
type Drain struct {
	// Grace returns how long the process may go on after the context has ended.
	Grace func() time.Duration
	// PollInterval is the time between two looks at whether it is over.
	PollInterval time.Duration
	// Start is called when the context has ended, and Over reports whether nobody needs
	// the process any more, some time after.
	Start func()
	Done  func(now time.Time, passed time.Duration) bool
}

// Wait waits for the end of the context, and then until it is over or the grace period
// nearly is. It returns how long that took, and false if the work ended first.
func (l Drain) Wait(ctx, work context.Context) (passed time.Duration, ok bool) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return 0, false
	}
	began := time.Now()
	l.Start()
	t := time.NewTicker(l.PollInterval)
	defer t.Stop()
	for now := range t.C {
		if passed = now.Sub(began); passed > l.Grace()-margin || l.Done(now, passed) {
			return passed, true
		}
	}
	return passed, true
}
