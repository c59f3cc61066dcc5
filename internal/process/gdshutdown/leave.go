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

// Leave is how a process ends.
type Leave struct {
	// Grace returns how long the process may go on after the context has ended.
	Grace func() time.Duration
	// Every is the time between two looks at whether it is over.
	Every time.Duration
	// Begin is called when the context has ended, and Over reports whether nobody needs
	// the process any more, some time after.
	Begin func()
	Over  func(now time.Time, passed time.Duration) bool
}

// Wait waits for the end of the context, and then until it is over or the grace period
// nearly is. It returns how long that took, and false if the work ended first.
func (l Leave) Wait(ctx, work context.Context) (passed time.Duration, ok bool) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return 0, false
	}
	began := time.Now()
	l.Begin()
	t := time.NewTicker(l.Every)
	defer t.Stop()
	for now := range t.C {
		if passed = now.Sub(began); passed > l.Grace()-margin || l.Over(now, passed) {
			return passed, true
		}
	}
	return passed, true
}
