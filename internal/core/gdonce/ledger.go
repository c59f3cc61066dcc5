package gdonce

import (
	"container/heap"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

type state uint8

const (
	// stateGranted: the key belongs to holder; nothing of it runs here.
	stateGranted state = iota
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
	index    int32 // place in the expiry queue
	state    state
	issued   bool
	attempts *attempts // nil unless claiming or running
	stored   *Stored   // nil unless done
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
	if r.stored != nil {
		l.bytes -= len(r.stored.Body)
	}
}

// keep stores the answer of a record, without its body when that is too large.
func (l *ledger) keep(r *record, s Stored, maxBytes int) {
	if len(s.Body) > MaxBodyBytes || l.bytes+len(s.Body) > maxBytes {
		s.Body = nil
		s.Omitted = true
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
