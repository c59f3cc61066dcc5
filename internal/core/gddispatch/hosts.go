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
	// onChange, if set, is called when a host has stopped responding and when it
	// responds again.
	onChange func(at gdflow.Address, suspect bool)
}

type host struct {
	unanswered   int
	suspectUntil time.Time
}

// silent reports whether the host has stopped responding.
func (o *host) silent() bool { return o.unanswered >= suspectAfter }

// answered records an answer of a host.
func (h *hosts) answered(at gdflow.Address) {
	o, ok := h.m[at.IP()]
	if !ok {
		return
	}
	delete(h.m, at.IP())
	h.notify(at, o, false)
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
			h.m = make(map[[4]byte]*host)
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

func (h *hosts) silentHosts() int {
	n := 0
	for _, o := range h.m {
		if o.silent() {
			n++
		}
	}
	return n
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
