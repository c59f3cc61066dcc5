package gdguard

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdwait"
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
	wait    gdwait.Estimator[*flow]
}

type request struct {
	f        *flow
	at       time.Time
	service  gdflow.Address
	priority uint8
}

// current reports whether the request is the latest one of its flow.
func (r request) current() bool { return r.f.processing && r.f.requestAt.Equal(r.at) }

// expected reports whether the request is expected on a flow that was offered.
func (r request) expected() bool { return r.f.offered }

// offer counts a flow whose first request is expected.
func (w *workload) offer(r request) {
	r.f.processing, r.f.offered = true, true
	w.n++
	w.offered = append(w.offered, r)
}

// begin counts a request, unless it was counted already when the flow was offered.
func (w *workload) begin(r request) {
	f := r.f
	if f.processing && !f.offered {
		return
	}
	if !f.processing {
		w.n++
	}
	f.processing, f.offered, f.requestAt = true, false, r.at
	w.running = append(w.running, r)
	w.wait.Deliver(r.at, f, r.service, r.priority)
}

// answered counts a request as done because its answer begins.
func (w *workload) answered(now time.Time, f *flow) {
	if f.processing && !f.offered {
		w.wait.Answered(now, f)
	}
	w.end(f)
}

func (w *workload) end(f *flow) {
	if f.processing {
		f.processing, f.offered = false, false
		w.n--
		w.wait.Remove(f)
	}
}

// clear removes all requests, because the upstream is gone.
func (w *workload) clear() {
	w.wait.Clear()
	*w = workload{wait: w.wait}
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
	w.offered = w.trim(now, w.offered, offerTimeout, request.expected)
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

// requestOn returns the request that begins now on the flow.
func (g *Guard) requestOn(now time.Time, k gdflow.Key, f *flow) request {
	g.work.wait.SetUpstream(g.slots(), g.isCold(now))
	return request{f: f, at: now, service: k.Service(), priority: g.classes.priority(now, k.Service())}
}

// extends reports whether the caller's packet has data beyond all that was delivered
// before, and records its end. A retransmission that arrives after the answer is no
// request.
func (f *flow) extends(p gdflow.Packet) bool {
	end := p.Seq + uint32(p.Size)
	if p.Size == 0 || f.hasData && int32(end-f.callerEnd) <= 0 {
		return false
	}
	f.callerEnd, f.hasData = end, true
	return true
}
