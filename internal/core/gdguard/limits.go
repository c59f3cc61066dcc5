package gdguard

import (
	"slices"
	"time"
)

// maxRequestTime is the maximum time for which a request counts as load: longer than
// the deadline of any class of requests that is served with priority.
const maxRequestTime = 2 * time.Second

// offerTimeout is how long an offered flow counts as load before its request arrives:
// several round trips to the caller. If copies of a caller's opening packet reach
// several entry hosts, the caller uses one upstream, and the others receive nothing
// more of the flow.
const offerTimeout = 100 * time.Millisecond

// workload counts the requests of the upstream: those that were delivered and whose
// answer has not begun, and those that are expected on flows that were offered to it.
type workload struct {
	n       int
	running []request
	offered []request
}

type request struct {
	f  *flow
	at time.Time
}

// current reports whether the request is the latest one of its flow.
func (r request) current() bool { return r.f.processing && r.f.requestAt.Equal(r.at) }

// offer counts a flow whose first request is expected.
func (w *workload) offer(now time.Time, f *flow) {
	f.processing, f.offered = true, true
	w.n++
	w.offered = append(w.offered, request{f: f, at: now})
}

// begin counts a request, unless it was counted already when the flow was offered.
func (w *workload) begin(now time.Time, f *flow) {
	if f.processing && !f.offered {
		return
	}
	if !f.processing {
		w.n++
	}
	f.processing, f.offered, f.requestAt = true, false, now
	w.running = append(w.running, request{f: f, at: now})
}

func (w *workload) end(f *flow) {
	if f.processing {
		f.processing, f.offered = false, false
		w.n--
	}
}

// oldest returns the start time of the oldest request in progress.
func (w *workload) oldest() (time.Time, bool) {
	for _, r := range w.running {
		if r.current() {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// expire removes requests that were not answered in time, and expected ones that did
// not arrive.
func (w *workload) expire(now time.Time) {
	w.running = w.trim(now, w.running, maxRequestTime, request.current)
	w.offered = w.trim(now, w.offered, offerTimeout, func(r request) bool { return r.f.offered })
}

// trim removes the first elements that no longer count, and ends those that have
// counted for longer than the limit.
func (w *workload) trim(now time.Time, list []request, limit time.Duration, counts func(request) bool) []request {
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

// budget limits the new flows within any second.
type budget struct{ used []time.Time }

func (b *budget) trim(now time.Time) {
	i := 0
	for ; i < len(b.used) && now.Sub(b.used[i]) > time.Second; i++ {
	}
	b.used = slices.Delete(b.used, 0, i)
}

func (b *budget) allows(now time.Time, perSecond int) bool {
	b.trim(now)
	return len(b.used) < max(perSecond, 1)
}

func (b *budget) spend(now time.Time) {
	b.trim(now)
	b.used = append(b.used, now)
}

// answers tracks whether the upstream answers requests for flows.
type answers struct {
	unanswered int
	since      time.Time
	lastProbe  time.Time
}

func (a *answers) sent(now time.Time) {
	if a.unanswered == 0 {
		a.since = now
	}
	a.unanswered++
}

// received records a packet of the upstream.
func (a *answers) received() { a.unanswered = 0 }

func (a *answers) silent(now time.Time) bool {
	return a.unanswered >= silentAfter && now.Sub(a.since) > answerTimeout
}

// probe reports whether a silent upstream is to be probed with a request for a flow.
func (a *answers) probe(now time.Time) bool {
	if now.Sub(a.lastProbe) < flowProbeInterval {
		return false
	}
	a.lastProbe = now
	return true
}
