package gddedup

import (
	"container/heap"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

type state uint8

const (
	// stateGranted: the key belongs to holder; nothing of it runs here.
	stateGranted state = iota
	// stateReleased: holder gave the key back with its claim number round, and
	// nobody holds it.
	stateReleased
	// stateClosed: the key has not been run and never will be.
	stateClosed
	// stateClaiming: this process collects grants for a waiting request.
	stateClaiming
	// stateRunning: a run was ordered and has not ended.
	stateRunning
	// stateDone: the run ended, and stored holds its answer.
	stateDone
	// stateUnknown: the run may have happened; it is never ordered again.
	stateUnknown
)

// process names one process of an agent.
type process struct {
	agent       gdconf.UpstreamID
	incarnation uint32
}

// record is what the ledger knows of one key.
type record struct {
	key      ident
	expires  int64 // Unix time in milliseconds
	digest   uint64
	holder   process
	round    uint32 // the number of the holder's claim
	index    int32  // place in the expiry queue
	state    state
	issued   bool
	attempts *attempts       // nil unless claiming or running
	stored   *StoredResponse // nil unless done
}

// attempts are the requests that share one run.
type attempts struct {
	runner  uint64
	waiters []uint64
	claim   *claim // nil unless claiming
}

func (a *attempts) all() []uint64 { return append([]uint64{a.runner}, a.waiters...) }

// ledger holds at most max records, each until its expiry. A record in
// progress outlives its expiry until it ends.
type ledger struct {
	records map[ident]*record
	queue   expiryQueue
	max     int
	bytes   int // size of the kept bodies
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

// remove forgets a record.
func (l *ledger) remove(r *record) {
	heap.Remove(&l.queue, int(r.index))
	delete(l.records, r.key)
	if r.issued && r.state == stateClosed {
		l.closed--
	}
	if r.stored != nil {
		l.bytes -= len(r.stored.Body)
	}
}

// close marks a key that was refused before a run.
func (l *ledger) close(r *record) {
	r.state = stateClosed
	if r.issued {
		l.closed++
	}
}

// minClosedShare is the share of the ledger, one in so many, below which refused
// keys are not looked for: the search costs the same however few there are.
const minClosedShare = 64

// dropClosed removes the issued keys that were refused before a run, and returns
// the latest of their expiry times. It reports false when there are too few.
func (l *ledger) dropClosed() (time.Time, bool) {
	if l.closed < max(1, l.max/minClosedShare) {
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

// keep stores the answer of a record, without its body when that is too large.
func (l *ledger) keep(r *record, s StoredResponse, maxBytes int) {
	if len(s.Body) > MaxBodyBytes || l.bytes+len(s.Body) > maxBytes {
		s.Body = nil
		s.BodyOmitted = true
	}
	l.bytes += len(s.Body)
	r.stored = &s
}

// expire forgets the records whose time is over, but for those in progress.
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

// expiryQueue is a heap of records, the earliest expiry first.
type expiryQueue []*record

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].expires < q[j].expires }

// Swap exchanges two records.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = int32(i)
	q[j].index = int32(j)
}

// Push adds a record; it is called by package heap only.
func (q *expiryQueue) Push(x any) {
	r := x.(*record)
	r.index = int32(len(*q))
	*q = append(*q, r)
}

// Pop removes the last record; it is called by package heap only.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
