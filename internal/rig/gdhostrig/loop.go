package gdhostrig

import (
	"context"
	"time"
)

// loopQueue is how many functions wait for the loop before those who bring one wait.
const loopQueue = 4096

// loop runs functions one after the other.
type loop struct {
	ctx  context.Context
	work chan func(time.Time)
	over chan struct{} // closed when run has returned
}

func newLoop(ctx context.Context) *loop {
	return &loop{ctx: ctx, work: make(chan func(time.Time), loopQueue), over: make(chan struct{})}
}

// post brings a function to the loop.
func (l *loop) post(f func(time.Time)) {
	select {
	case l.work <- f:
	case <-l.ctx.Done():
	}
}

// After runs a function in the loop some time from now.
func (l *loop) After(d time.Duration, f func(time.Time)) { time.AfterFunc(d, func() { l.post(f) }) }

// run runs what is brought until the context ends.
func (l *loop) run() {
	defer close(l.over)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.work:
			f(time.Now())
		}
	}
}
