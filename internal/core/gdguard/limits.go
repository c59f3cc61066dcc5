package gdguard

import "time"

// workTime is how long a request counts as work at most: longer than the
// deadline of any kind that is worth serving first.
const workTime = 2 * time.Second

// workload counts the requests that the upstream works on: those whose bytes went
// in and of whose answer nothing has come out.
type workload struct {
	n     int
	begun []begun
}

type begun struct {
	f  *flow
	at time.Time
}

func (w *workload) begin(now time.Time, f *flow) {
	if f.working {
		return
	}
	f.working, f.since = true, now
	w.n++
	w.begun = append(w.begun, begun{f: f, at: now})
}

func (w *workload) end(f *flow) {
	if f.working {
		f.working = false
		w.n--
	}
}

// oldest returns when the oldest request began that is still at work.
func (w *workload) oldest() (time.Time, bool) {
	for _, b := range w.begun {
		if b.f.working {
			return b.at, true
		}
	}
	return time.Time{}, false
}

// expire ends requests that got no answer in time.
func (w *workload) expire(now time.Time) {
	i := 0
	for ; i < len(w.begun) && (!w.begun[i].f.working || now.Sub(w.begun[i].at) > workTime); i++ {
		w.end(w.begun[i].f)
	}
	if i > 0 {
		n := copy(w.begun, w.begun[i:])
		clear(w.begun[n:])
		w.begun = w.begun[:n]
	}
}

// budget bounds the new flows within any second.
type budget struct{ spent []time.Time }

func (b *budget) trim(now time.Time) {
	i := 0
	for ; i < len(b.spent) && now.Sub(b.spent[i]) > time.Second; i++ {
	}
	if i > 0 {
		b.spent = b.spent[:copy(b.spent, b.spent[i:])]
	}
}

func (b *budget) allows(now time.Time, perSecond int) bool {
	b.trim(now)
	return len(b.spent) < max(perSecond, 1)
}

func (b *budget) spend(now time.Time) {
	b.trim(now)
	b.spent = append(b.spent, now)
}

// answers tells whether the upstream answers requests for flows.
type answers struct {
	waiting int
	since   time.Time
	probed  time.Time
}

func (a *answers) sent(now time.Time) {
	if a.waiting == 0 {
		a.since = now
	}
	a.waiting++
}

// received notes any packet of the upstream.
func (a *answers) received() { a.waiting = 0 }

func (a *answers) silent(now time.Time) bool {
	return a.waiting >= silentAfter && now.Sub(a.since) > answerTime
}

// probe reports whether a silent upstream is to be tried again.
func (a *answers) probe(now time.Time) bool {
	if now.Sub(a.probed) < probeInterval {
		return false
	}
	a.probed = now
	return true
}
