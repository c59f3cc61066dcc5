package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// suspectAfter is the number of consecutive unanswered packets after which a host
	// is suspect. A single one may just be lost.
	suspectAfter = 2
	// suspectDuration is how long a suspect host is offered no new flows, unless no
	// other accepts them. After that, one packet probes the host.
	suspectDuration = 500 * time.Millisecond
	// maxHosts limits the number of hosts that are tracked.
	maxHosts = 1 << 14
)

// hosts tracks which hosts have stopped responding.
type hosts struct {
	m map[[4]byte]*host
	// silentCount is the number of hosts that have stopped responding.
	silentCount int
	// onChange, if set, is called when a host has stopped responding and when it
	// responds again.
	onChange func(at gdflow.Address, suspect bool)
	// recent are the hosts that have answered last, the latest first.
	recent [2]answer
}

// answer is the last answer of a host.
type answer struct {
	from gdflow.Address
	at   time.Time
}

type host struct {
	unanswered    int
	suspectUntil  time.Time
	probedAt      time.Time // the last probe was started
	unreachableAt time.Time // the last probe has failed, or the zero time
}

// unreachable reports whether the last probe of the host has failed recently.
func (o *host) unreachable(now time.Time) bool {
	return !o.unreachableAt.IsZero() && now.Sub(o.unreachableAt) < unreachableTTL
}

// silent reports whether the host has stopped responding.
func (o *host) silent() bool { return o.unanswered >= suspectAfter }

// answered records an answer of a host.
func (h *hosts) answered(now time.Time, at gdflow.Address) {
	if h.recent[0].from.IP() != at.IP() {
		h.recent[1] = h.recent[0]
	}
	h.recent[0] = answer{from: at, at: now}
	o, ok := h.m[at.IP()]
	if !ok {
		return
	}
	delete(h.m, at.IP())
	if o.silent() {
		h.silentCount--
	}
	h.notify(at, o, false)
}

// control returns another host that has answered recently.
func (h *hosts) control(now time.Time, at gdflow.Address) (gdflow.Address, bool) {
	for _, a := range h.recent {
		if !a.at.IsZero() && now.Sub(a.at) < controlTTL && a.from.IP() != at.IP() {
			return a.from, true
		}
	}
	return gdflow.Address{}, false
}

// unreachable reports whether the last probe of the host has failed recently.
func (h *hosts) unreachable(now time.Time, a gdflow.Address) bool {
	o, ok := h.m[a.IP()]
	return ok && o.unreachable(now)
}

// notify reports that a host has stopped responding, or responds again. It does not
// report a host that is suspect only because its upstream is unavailable.
func (h *hosts) notify(at gdflow.Address, o *host, suspect bool) {
	if h.onChange != nil && o.silent() {
		h.onChange(at, suspect)
	}
}

// timedOut records that a packet was not answered in time.
func (h *hosts) timedOut(now time.Time, at gdflow.Address) {
	o := h.get(at)
	o.unanswered++
	if o.silent() {
		o.suspectUntil = now.Add(suspectDuration)
	}
	if o.unanswered == suspectAfter {
		h.silentCount++
		h.notify(at, o, true)
	}
}

// markSuspect makes a host suspect whose agent reports that its upstream is unavailable.
func (h *hosts) markSuspect(now time.Time, at gdflow.Address) {
	h.get(at).suspectUntil = now.Add(suspectDuration)
}

func (h *hosts) get(a gdflow.Address) *host {
	o, ok := h.m[a.IP()]
	if !ok {
		if h.m == nil || len(h.m) >= maxHosts {
			h.m, h.silentCount = make(map[[4]byte]*host), 0
		}
		o = &host{}
		h.m[a.IP()] = o
	}
	return o
}

// silent reports whether the host has stopped responding.
func (h *hosts) silent(a gdflow.Address) bool {
	o, ok := h.m[a.IP()]
	return ok && o.silent()
}

func (h *hosts) suspect(now time.Time, a gdflow.Address) bool {
	o, ok := h.m[a.IP()]
	return ok && now.Before(o.suspectUntil)
}

func (h *hosts) suspects(now time.Time) int {
	n := 0
	for _, o := range h.m {
		if now.Before(o.suspectUntil) {
			n++
		}
	}
	return n
}
