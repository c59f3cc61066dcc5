package gdguard

import (
	"slices"
	"time"
)

// workTime is how long a request counts as work at most: longer than the
// deadline of any kind that is worth serving first.
const workTime = 2 * time.Second

// offerTime is how long an offered flow counts as work before its request comes: several
// round trips to the caller. A caller of whose opening packet copies went to several
// entry hosts takes one upstream, and the others never hear of it again.
const offerTime = 100 * time.Millisecond

// workload counts the requests that the upstream works on: those whose bytes went
// in and of whose answer nothing has come out, and those that are about to come on
// flows that it was offered.
type workload struct {
	n       int
	begun   []begun
	offered []begun
}

type begun struct {
	f  *flow
	at time.Time
}

// live reports whether the request is the flow's present one.
func (b begun) live() bool { return b.f.working && b.f.since.Equal(b.at) }

// offer counts a flow whose first request is about to come.
func (w *workload) offer(now time.Time, f *flow) {
	f.working, f.offered = true, true
	w.n++
	w.offered = append(w.offered, begun{f: f, at: now})
}

// begin counts a request, which may be the one that was about to come.
func (w *workload) begin(now time.Time, f *flow) {
	if f.working && !f.offered {
		return
	}
	if !f.working {
		w.n++
	}
	f.working, f.offered, f.since = true, false, now
	w.begun = append(w.begun, begun{f: f, at: now})
}

func (w *workload) end(f *flow) {
	if f.working {
		f.working, f.offered = false, false
		w.n--
	}
}

// oldest returns when the oldest request began that is still at work.
func (w *workload) oldest() (time.Time, bool) {
	for _, b := range w.begun {
		if b.live() {
			return b.at, true
		}
	}
	return time.Time{}, false
}

// expire ends requests that got no answer in time, and those that did not come.
func (w *workload) expire(now time.Time) {
	w.begun = w.trim(now, w.begun, workTime, begun.live)
	w.offered = w.trim(now, w.offered, offerTime, func(b begun) bool { return b.f.offered })
}

// trim drops the first elements that don't count any more, and ends those that count
// for longer than the limit.
func (w *workload) trim(now time.Time, list []begun, limit time.Duration, counts func(begun) bool) []begun {
	i := 0
	for ; i < len(list); i++ {
		if counts(list[i]) {
			if now.Sub(list[i].at) <= limit {
				break
			}
			w.end(list[i].f)
		}
	}
	return slices.Delete(list, 0, i)
}

// budget bounds the new flows within any second.
type budget struct{ spent []time.Time }

func (b *budget) trim(now time.Time) {
	i := 0
	for ; i < len(b.spent) && now.Sub(b.spent[i]) > time.Second; i++ {
	}
	b.spent = slices.Delete(b.spent, 0, i)
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
