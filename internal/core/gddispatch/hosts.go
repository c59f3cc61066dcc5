package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// suspectAfter is how many packets in a row go unanswered before a host counts
	// as suspect. One could be lost on its own.
	suspectAfter = 2
	// suspectTime is how long a suspect host gets no new flows, unless no other
	// takes them. After it one packet tries the host again.
	suspectTime = 500 * time.Millisecond
	// mostHosts bounds the hosts that are remembered.
	mostHosts = 1 << 14
)

// hosts remembers which hosts have stopped answering.
type hosts struct {
	m map[[4]byte]*host
	// changed, if set, is told when a host becomes suspect and when it answers again.
	changed func(at gdflow.Address, suspect bool)
}

type host struct {
	unanswered int
	until      time.Time
}

// silent reports whether the host has stopped answering.
func (o *host) silent() bool { return o.unanswered >= suspectAfter }

// heard notes an answer.
func (h *hosts) heard(at gdflow.Address) {
	o, ok := h.m[at.IP()]
	if !ok {
		return
	}
	delete(h.m, at.IP())
	h.tell(at, o, false)
}

// tell reports a change of a host that became suspect.
func (h *hosts) tell(at gdflow.Address, o *host, suspect bool) {
	if h.changed != nil && o.silent() {
		h.changed(at, suspect)
	}
}

// unanswered notes that a packet got no answer in time.
func (h *hosts) unanswered(now time.Time, at gdflow.Address) {
	o := h.at(at)
	o.unanswered++
	if o.silent() {
		o.until = now.Add(suspectTime)
	}
	if o.unanswered == suspectAfter {
		h.tell(at, o, true)
	}
}

// avoid makes a host suspect whose agent says that its upstream is not there.
func (h *hosts) avoid(now time.Time, at gdflow.Address) { h.at(at).until = now.Add(suspectTime) }

func (h *hosts) at(a gdflow.Address) *host {
	o, ok := h.m[a.IP()]
	if !ok {
		if h.m == nil || len(h.m) >= mostHosts {
			h.m = make(map[[4]byte]*host)
		}
		o = &host{}
		h.m[a.IP()] = o
	}
	return o
}

// silent reports whether the host has stopped answering.
func (h *hosts) silent(a gdflow.Address) bool {
	o, ok := h.m[a.IP()]
	return ok && o.silent()
}

func (h *hosts) suspect(now time.Time, a gdflow.Address) bool {
	o, ok := h.m[a.IP()]
	return ok && now.Before(o.until)
}

func (h *hosts) suspects(now time.Time) int {
	n := 0
	for _, o := range h.m {
		if now.Before(o.until) {
			n++
		}
	}
	return n
}
