package gdlog

import (
	"context"
	"io"
	"sync/atomic"
)

// DefaultQueueSize is the number of events that wait for a slow log.
const DefaultQueueSize = 1024

// Queue lets no event wait for a slow log: it takes events into a bounded queue
// and writes them in a duty of its own. When the queue is full, an event is
// dropped and counted. It is an io.Writer for [New] and safe for concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue for n events, at least one.
func NewQueue(out io.Writer, n int) *Queue {
	return &Queue{out: out, lines: make(chan []byte, max(n, 1))}
}

// Write takes one event and never waits. It always reports success, as a process
// must not fail with its log.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of events dropped since the start.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes the events until the context ends, and then those that are left.
// Errors of the log are passed over: there is nowhere to report them.
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
