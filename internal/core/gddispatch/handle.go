package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// HandleReturned decides on a packet that an agent gives back.
func (s *Dispatcher) HandleReturned(now time.Time, ans ReturnInfo, p gdflow.Packet, raw []byte) []Action {
	s.init()
	s.heard(now, ans.From)
	s.newest = max(s.newest, ans.Revision)
	if s.view == nil {
		return nil
	}
	r, ok := s.view.Route(p.Key().Service())
	if !ok {
		return nil
	}
	f := s.flow(now, p.Key())
	if p.Opens() {
		s.openRefused(now, r, ans, p.Key(), f)
	} else {
		s.notHeld(now, r, ans, p, f, raw)
	}
	return s.actions
}

// heard notes an answer of an agent's host.
func (s *Dispatcher) heard(now time.Time, from gdflow.Address) {
	s.hosts.heard(from)
	if s.cutOff {
		s.noticeReach(now)
	}
}

// openRefused goes on with the next upstream if the last one that was asked
// refused the flow.
func (s *Dispatcher) openRefused(now time.Time, r *gddiscovery.Route, ans ReturnInfo, k gdflow.Key, f *flow) {
	if ans.Reason == gdguard.Silent || ans.Reason == gdguard.Exited {
		s.hosts.avoid(now, ans.From)
	}
	if f.state != opening || f.search.holding {
		return
	}
	t := f.search.of(ans.From)
	if t == nil {
		return
	}
	t.answered, t.load, t.busy = true, ans.Load, ans.Reason == gdguard.Busy
	if t == f.search.last() {
		s.nextOpen(now, r, k, f)
	}
}

// notHeld goes on with the search for a flow's upstream.
func (s *Dispatcher) notHeld(now time.Time, r *gddiscovery.Route, ans ReturnInfo, p gdflow.Packet, f *flow, raw []byte) {
	switch f.state {
	case settled:
		if f.at.IP() != ans.From.IP() {
			s.forward(now, r, f.at, Action{Key: p.Key(), Packet: raw, Reason: Known})
			return
		}
		s.searchFrom(now, r, ans, p, f, raw)
	case looking:
		t := f.search.of(ans.From)
		if t == nil || t.answered {
			return
		}
		t.answered = true
		if t == f.search.last() || f.search.allAnswered() {
			s.nextLook(now, r, p.Key(), f)
		}
	case gone:
		s.add(Action{Verb: Reset, Key: p.Key(), Seq: p.Ack, Reason: FlowGone})
	case lost:
		s.add(Action{Verb: Drop, Key: p.Key(), Reason: NotFound})
	default:
		s.searchFrom(now, r, ans, p, f, raw)
	}
}

// searchFrom starts a search after one upstream has said that it does not hold the
// flow.
func (s *Dispatcher) searchFrom(now time.Time, r *gddiscovery.Route, ans ReturnInfo, p gdflow.Packet, f *flow, raw []byte) {
	s.begin(now, f, looking, p, raw)
	f.search.tries = append(f.search.tries, try{at: ans.From, answered: true})
	s.nextLook(now, r, p.Key(), f)
}

// HandleAccepted notes that the upstream beside the agent accepted the flow.
func (s *Dispatcher) HandleAccepted(now time.Time, from gdflow.Address, k gdflow.Key) []Action {
	return s.found(now, from, k, opening)
}

// HandleHeld notes that the upstream beside the agent holds the flow.
func (s *Dispatcher) HandleHeld(now time.Time, from gdflow.Address, k gdflow.Key) []Action {
	return s.found(now, from, k, settled)
}

// found settles the flow, unless it is settled already and the agent only accepted
// a copy.
func (s *Dispatcher) found(now time.Time, from gdflow.Address, k gdflow.Key, least state) []Action {
	s.init()
	s.heard(now, from)
	f, ok := s.flows.Get(now, k)
	if !ok || s.view == nil || f.state == settled && (least == opening || f.at.IP() == from.IP()) {
		return nil
	}
	s.settle(now, k, f, s.addressAt(k, from))
	return s.actions
}

// addressAt returns the address of the upstream on the host.
func (s *Dispatcher) addressAt(k gdflow.Key, host gdflow.Address) gdflow.Address {
	r, ok := s.view.Route(k.Service())
	if !ok {
		return host
	}
	for m := range s.members(r) {
		if m.Address().IP() == host.IP() {
			return m.Address()
		}
	}
	return host
}

// NextTick returns when Tick is due, or the zero time.
func (s *Dispatcher) NextTick() time.Time {
	next := sooner(s.questions.due, s.pingDue)
	if len(s.timers) > 0 {
		next = sooner(next, s.timers[0].at)
	}
	return next
}

// sooner returns the earlier time of two, of which the zero time is none.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Tick goes on with the searches whose last upstream has not answered in time.
func (s *Dispatcher) Tick(now time.Time) []Action {
	s.init()
	i := 0
	for ; i < len(s.timers) && !s.timers[i].at.After(now); i++ {
		s.expire(now, s.timers[i])
	}
	s.timers = slices.Delete(s.timers, 0, i)
	if !s.questions.due.IsZero() && !s.questions.due.After(now) {
		s.askAll()
	}
	if !s.pingDue.IsZero() && !s.pingDue.After(now) {
		s.ping(now)
	}
	return s.actions
}

func (s *Dispatcher) expire(now time.Time, t timer) {
	f, ok := s.flows.Get(now, t.key)
	if !ok || f.search == nil || !f.search.deadline.Equal(t.at) {
		return
	}
	if f.search.holding {
		s.offerAgain(now, t.key, f)
		return
	}
	for i := range f.search.tries {
		if t := &f.search.tries[i]; !t.answered {
			f.search.silent = true
			s.hosts.unanswered(now, t.at)
		}
	}
	s.noticeReach(now)
	r, ok := s.view.Route(t.key.Service())
	if !ok {
		s.finish(f)
		f.state = 0
		return
	}
	if f.state == opening {
		s.nextOpen(now, r, t.key, f)
	} else {
		s.nextLook(now, r, t.key, f)
	}
}
