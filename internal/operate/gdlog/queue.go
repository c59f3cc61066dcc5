package gdlog

import (
	"context"
	"io"
	"sync/atomic"
)

// DefaultQueueSize is the default number of events in a Queue.
const DefaultQueueSize = 1024

// Queue is an io.Writer for [New] that never blocks on a slow log. It buffers events in
// a bounded queue, which Run writes out. Events that arrive while the queue is full are
// dropped and counted. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue for n events; n is raised to 1 if it is smaller.
func NewQueue(out io.Writer, n int) *Queue {
	return &Queue{out: out, lines: make(chan []byte, max(n, 1))}
}

// Write queues one event without blocking. It always reports success, because a
// process must not fail if its log does.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of events dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes queued events until the context is cancelled, and then the remaining
// ones. It ignores write errors, as there is nowhere to report them.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.out.Write(line)
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.out.Write(line)
		default:
			return
		}
	}
}
