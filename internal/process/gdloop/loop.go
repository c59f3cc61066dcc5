// Package gdloop runs a decision core in its own goroutine.
//
// Events reach the core through a bounded inbox. Its actions are passed to Deliver in
// the same goroutine, so that they keep the order of their events.
//
// # Usage
//
//	l := &gdloop.Loop[gdadmit.Action]{
//		Tick:     core.Tick,
//		NextTick: core.NextTick,
//		Deliver:  deliver,
//	}
//	go l.Run(ctx)
//	ok := l.TryPost(func(now time.Time) []gdadmit.Action { return core.Arrive(now, r) })
//
// The core must be accessed only in events that are passed to TryPost or Post.
package gdloop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// inboxSize is the maximum number of events that wait for the core.
	inboxSize = 1024
	// maxWait is the maximum wait for the next tick.
	maxWait = time.Second
)

// Event calls the core with the current time and returns the core's actions.
type Event[A any] func(now time.Time) []A

// Loop owns a core. Its exported fields are set before Run.
type Loop[A any] struct {
	// Tick is called at the time that NextTick returns. A zero time means that no tick
	// is needed.
	Tick     Event[A]
	NextTick func() time.Time
	// Deliver is called with each action. It must not block.
	Deliver func(A)

	once    sync.Once
	inbox   chan Event[A]
	dropped atomic.Uint64
	done    chan struct{}
}

func (l *Loop[A]) init() {
	l.once.Do(func() {
		l.inbox = make(chan Event[A], inboxSize)
		l.done = make(chan struct{})
	})
}

// TryPost passes an event to the core. It returns false if the inbox is full or the loop
// has ended.
func (l *Loop[A]) TryPost(e Event[A]) bool {
	l.init()
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.inbox <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Post passes an event that must not be lost to the core. It waits while the inbox is
// full, and does nothing once the loop has ended.
func (l *Loop[A]) Post(e Event[A]) {
	l.init()
	select {
	case l.inbox <- e:
	case <-l.done:
	}
}

// Call passes an event to the core and waits until its actions are delivered. It returns
// false if the loop or the context ends first; the event may then be handled later or
// not at all.
func (l *Loop[A]) Call(ctx context.Context, e Event[A]) bool {
	l.init()
	handled := make(chan struct{})
	select {
	case l.inbox <- func(now time.Time) []A {
		l.deliver(e(now))
		close(handled)
		return nil
	}:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-handled:
		return true
	case <-l.done:
	case <-ctx.Done():
	}
	return false
}

// Dropped returns the number of events that were dropped because the inbox was full.
func (l *Loop[A]) Dropped() uint64 { return l.dropped.Load() }

// Run handles events until the context ends.
func (l *Loop[A]) Run(ctx context.Context) {
	l.init()
	defer close(l.done)
	t := time.NewTimer(maxWait)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.inbox:
			l.deliver(e(time.Now()))
		case <-t.C:
			l.deliver(l.Tick(time.Now()))
		}
		t.Reset(l.untilNextTick(time.Now()))
	}
}

func (l *Loop[A]) deliver(actions []A) {
	for _, a := range actions {
		l.Deliver(a)
	}
}

func (l *Loop[A]) untilNextTick(now time.Time) time.Duration {
	next := l.NextTick()
	if next.IsZero() {
		return maxWait
	}
	return min(max(next.Sub(now), 0), maxWait)
}
