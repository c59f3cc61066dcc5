package gddedup

import (
	"container/heap"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

type state uint8

const (
	// stateGranted: the key belongs to holder and is not running here.
	stateGranted state = iota
	// stateReleased: holder released the key with its claim number claimRound, and
	// the key is not granted to any process.
	stateReleased
	// stateClosed: the key has not run and never will.
	stateClosed
	// stateClaiming: this process collects grants for a waiting request.
	stateClaiming
	// stateRunning: the run was requested and has not ended.
	stateRunning
	// stateDone: the run ended, and response holds its response.
	stateDone
	// stateUnknown: the request may have run; it is never run again.
	stateUnknown
)

// process identifies one process of an agent.
type process struct {
	agent       gdconf.UpstreamID
	incarnation uint32
}

// record is the state of one key in the ledger.
type record struct {
	key        ident
	expires    int64 // Unix time in milliseconds
	digest     uint64
	holder     process
	claimRound uint32 // number of the holder's claim
	queueIndex int32  // index in the expiry queue
	state      state
	issued     bool
	attempts   *attempts       // nil unless claiming or running
	response   *StoredResponse // nil unless done
}

// attempts are the requests that share one run.
type attempts struct {
	runner  uint64
	waiters []uint64
	claim   *claim // nil unless claiming
}

func (a *attempts) all() []uint64 { return append([]uint64{a.runner}, a.waiters...) }

// ledger contains at most max records, each until its expiry. A record in
// progress is kept after its expiry until it ends.
type ledger struct {
	records map[ident]*record
	queue   expiryQueue
	max     int
	bytes   int // size of the stored bodies
	closed  int // number of issued keys in stateClosed
}

func (l *ledger) full() bool { return len(l.records) >= l.max }

func (l *ledger) add(r *record) {
	if l.records == nil {
		l.records = make(map[ident]*record)
	}
	l.records[r.key] = r
	heap.Push(&l.queue, r)
}

// remove removes a record.
func (l *ledger) remove(r *record) {
	heap.Remove(&l.queue, int(r.queueIndex))
	delete(l.records, r.key)
	if r.issued && r.state == stateClosed {
		l.closed--
	}
	if r.response != nil {
		l.bytes -= len(r.response.Body)
	}
}

// close closes a key that was refused before a run.
func (l *ledger) close(r *record) {
	r.state = stateClosed
	if r.issued {
		l.closed++
	}
}

// minClosedDivisor sets the minimum share of the ledger, one in
// minClosedDivisor, that closed keys must make up for them to be removed: the
// scan takes as long for a few as for many.
const minClosedDivisor = 64

// dropClosed removes the issued keys that were refused before a run, and
// returns the latest of their expiry times. It reports false if there are too
// few.
func (l *ledger) dropClosed() (time.Time, bool) {
	if l.closed < max(1, l.max/minClosedDivisor) {
		return time.Time{}, false
	}
	var last int64
	for _, r := range l.records {
		if r.issued && r.state == stateClosed {
			last = max(last, r.expires)
			l.remove(r)
		}
	}
	return time.UnixMilli(last), true
}

// storeResponse stores the response of a record, without its body if that is
// too large.
func (l *ledger) storeResponse(r *record, s StoredResponse, maxBytes int) {
	if len(s.Body) > MaxBodyBytes || l.bytes+len(s.Body) > maxBytes {
		s.Body = nil
		s.BodyOmitted = true
	}
	l.bytes += len(s.Body)
	r.response = &s
}

// expire removes the expired records, except those in progress.
func (l *ledger) expire(now time.Time) {
	ms := now.UnixMilli()
	for len(l.queue) > 0 && l.queue[0].expires < ms {
		r := l.queue[0]
		if r.attempts != nil {
			r.expires = ms + time.Second.Milliseconds()
			heap.Fix(&l.queue, 0)
			continue
		}
		l.remove(r)
	}
}

// expiryQueue is a heap of records, ordered by expiry.
type expiryQueue []*record

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expires < q[j].expires }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = int32(i)
	q[j].queueIndex = int32(j)
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	r := x.(*record)
	r.queueIndex = int32(len(*q))
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
