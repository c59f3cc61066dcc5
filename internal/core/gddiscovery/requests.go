package gddiscovery

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// watchWait is how long a watch waits for changes. A watch may receive nothing for a
	// second without being disconnected, so no longer wait can be relied on.
	watchWait = time.Second
	// answerMargin is the time that the answer may take beyond that.
	answerMargin = time.Second
	// loadTimeout is the timeout for loading the full state, and maxLoadTimeout that after loads
	// that took longer: several times what the largest state takes over a link of 10 Mbit/s.
	loadTimeout    = 3 * time.Second
	maxLoadTimeout = 24 * time.Second
	// minRetryDelay is the delay before a failed request is followed by another one.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the maximum delay; the delay doubles with each failure.
	maxRetryDelay = 800 * time.Millisecond
	// maxDoublings keeps doubled durations from an overflow.
	maxDoublings = 8
)

// Request is a request to the source.
type Request struct {
	full          bool
	wait, timeout time.Duration
}

// Full reports whether the full state is requested, and not the changes since the last one.
func (r Request) Full() bool { return r.full }

// Wait returns how long the source may wait for changes.
func (r Request) Wait() time.Duration { return r.wait }

// Timeout returns the time after which the request fails.
func (r Request) Timeout() time.Duration { return r.timeout }

// Requests decides which requests to the source follow each other. The zero value is ready to use.
type Requests struct {
	failures int // consecutive
	reload   bool
	unread   Unread // loads
}

// Next returns the next request. loaded reports whether the full state was loaded before.
func (q *Requests) Next(loaded bool) Request {
	if q.reload || !loaded {
		return Request{full: true, timeout: q.unread.Extend(loadTimeout, maxLoadTimeout)}
	}
	return Request{wait: watchWait, timeout: watchWait + answerMargin}
}

// Loaded records that the full state was loaded, also if the watch after it fails.
func (q *Requests) Loaded() { q.reload, q.unread = false, 0 }

// Failures returns the number of requests that have failed since the last one that succeeded.
func (q *Requests) Failures() int { return q.failures }

// Succeeded records that a request was answered.
func (q *Requests) Succeeded() { *q = Requests{} }

// Failed records that the request has failed, and returns the delay before the next one. After
// a watch whose answer can't be had, the full state is loaded. A load that could not be read gets
// more time.
func (q *Requests) Failed(r Request, err error) time.Duration {
	if r.full {
		q.unread.Note(err)
	}
	q.failures++
	q.reload = q.reload || errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrUnreadable)
	return min(minRetryDelay<<min(q.failures-1, maxDoublings), maxRetryDelay)
}

// Unread counts the answers in a row that have begun and could not be read. They may need more
// time.
type Unread int

// Note records how a request ended. A source that does not answer at all gets no more time.
func (u *Unread) Note(err error) {
	if !errors.Is(err, ErrUnreadable) {
		*u = 0
		return
	}
	*u++
}

// Extend returns the timeout for the next answer: the first one, doubled for each that could not
// be read, up to the highest one.
func (u Unread) Extend(first, highest time.Duration) time.Duration {
	return min(first<<min(u, maxDoublings), highest)
}
