package gddispatch

import "time"

const (
	// leastReach is the share of the agents below which a host is no use to callers. A
	// host in a failure domain that is cut off reaches more: those of its own domain,
	// which bear the domain's callers.
	leastReach = 0.1
	// leastSilent is how many agents must be silent: one alone may be away.
	leastSilent = 2
	// newsTime is the age of a view that is older than any with a reader who watches:
	// the longest watch and a beacon's time.
	newsTime = 1300 * time.Millisecond
	// pingTime is the time between two looks at silent agents by a host that reaches
	// hardly any: the routers ask twice a second whether it is ready.
	pingTime = 200 * time.Millisecond
)

// CutOff reports whether hardly any agent answers this host, and it has no news of the
// deployment either, so that callers do better with another one. With news it is the
// agents that are away, and no other host does better.
func (s *Dispatcher) CutOff() bool { return s.cutOff }

// reachesFew reports whether hardly any agent answers, and there is no recent news.
func (s *Dispatcher) reachesFew(now time.Time) bool {
	if s.view == nil || now.Sub(s.confirmed) < newsTime {
		return false
	}
	all, silent := 0, 0
	for _, m := range s.view.Upstreams() {
		if _, gone := m.Removed(); gone {
			continue
		}
		all++
		if s.hosts.silent(m.Address()) {
			silent++
		}
	}
	return silent >= leastSilent && float64(all-silent) < leastReach*float64(all)
}

// noticeReach notes whether the host is cut off, and has the silent agents looked at
// while it is.
func (s *Dispatcher) noticeReach(now time.Time) {
	s.cutOff = s.reachesFew(now)
	if s.cutOff && s.pingDue.IsZero() {
		s.pingDue = now.Add(pingTime)
	}
}

// ping asks the silent agents about nothing, so that their answer shows that they are
// there.
func (s *Dispatcher) ping(now time.Time) {
	s.pingDue = time.Time{}
	s.noticeReach(now)
	if !s.cutOff {
		return
	}
	for _, m := range s.view.Upstreams() {
		p, ok := s.view.Pool(m.Upstream().Service)
		if ok && s.hosts.silent(m.Address()) {
			s.add(Action{Verb: Query, To: m.Address(), Header: s.carryTo(now, p, m), Reason: Broadcast})
		}
	}
}
