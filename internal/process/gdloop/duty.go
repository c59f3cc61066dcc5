// Package gdloop runs a decision core in a goroutine of its own.
//
// Events reach the core through a bounded inbox. What the core decides is handed
// to Deliver, in the same goroutine, so that actions keep the order of their
// events.
//
// # Usage
//
//	d := &gdloop.Duty[gdadmit.Action]{
//		Tick:     core.Tick,
//		NextTick: core.NextTick,
//		Deliver:  deliver,
//	}
//	go d.Run(ctx)
//	ok := d.Offer(func(now time.Time) []gdadmit.Action { return core.Arrive(now, r) })
//
// Everything that touches the core goes through Offer or Post.
package gdloop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// inboxSize is the number of events that wait for the core.
	inboxSize = 1024
	// idleTick is how often a core without a tick of its own is looked at.
	idleTick = time.Second
)

// Event is what the core is told at the present time. It returns the core's
// actions.
type Event[A any] func(now time.Time) []A

// Loop owns a core. Its exported fields are set before Run.
type Loop[A any] struct {
	// Tick is called at NextTick. A zero NextTick means that none is needed.
	Tick     Event[A]
	NextTick func() time.Time
	// Deliver takes each action. It must not block.
	Deliver func(A)

	once    sync.Once
	inbox   chan Event[A]
	dropped atomic.Uint64
	done    chan struct{}
}

func (d *Loop[A]) init() {
	d.once.Do(func() {
		d.inbox = make(chan Event[A], inboxSize)
		d.done = make(chan struct{})
	})
}

// TryPost hands over an event that may be refused. It reports false when the inbox
// is full or the duty has ended.
func (d *Loop[A]) TryPost(e Event[A]) bool {
	d.init()
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.inbox <- e:
		return true
	default:
		d.dropped.Add(1)
		return false
	}
}

// Post hands over an event that the core must not miss, and waits while the
// inbox is full. It does nothing once the duty has ended.
func (d *Loop[A]) Post(e Event[A]) {
	d.init()
	select {
	case d.inbox <- e:
	case <-d.done:
	}
}

// Dropped returns the number of events that a full inbox refused.
func (d *Loop[A]) Dropped() uint64 { return d.dropped.Load() }

// Run handles events until the context ends.
func (d *Loop[A]) Run(ctx context.Context) {
	d.init()
	defer close(d.done)
	t := time.NewTimer(idleTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.inbox:
			d.deliver(e(time.Now()))
		case <-t.C:
			d.deliver(d.Tick(time.Now()))
		}
		t.Reset(d.wait(time.Now()))
	}
}

func (d *Loop[A]) deliver(actions []A) {
	for _, a := range actions {
		d.Deliver(a)
	}
}

func (d *Loop[A]) wait(now time.Time) time.Duration {
	next := d.NextTick()
	if next.IsZero() {
		return idleTick
	}
	return min(max(next.Sub(now), 0), idleTick)
}
