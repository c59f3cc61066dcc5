package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// best returns the upstream that ranks first for the flow among those that the
// filter lets through and that were not asked yet.
func (s *Dispatcher) best(hash uint64, p *gddiscovery.Pool, sr *search, ok func(*gddiscovery.Member) bool) *gddiscovery.Member {
	var first *gddiscovery.Member
	var top uint64
	for _, m := range p.Members() {
		score := m.Score(hash)
		if (first == nil || score > top) && sr.of(m.Address()) == nil && ok(m) {
			first, top = m, score
		}
	}
	return first
}

// nextOpen offers the flow to the next upstream.
func (s *Dispatcher) nextOpen(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	sr := f.search
	hash := k.Hash()
	var m *gddiscovery.Member
	if p, ok := s.view.Pool(r.PickService(hash)); ok && sr.busy() < busyTries {
		m = s.best(hash, p, sr, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) && !s.hosts.suspect(now, m.Address()) })
		if m == nil && sr.least() == nil {
			m = s.best(hash, p, sr, func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) })
		}
	}
	if m != nil {
		s.ask(now, r, k, f, m.Address(), Action{Opens: true, Reason: ByRank})
		return
	}
	if t := sr.least(); t != nil {
		if sr.forced {
			s.hold(now, r, k, f)
			return
		}
		sr.forced = true
		at := t.at
		sr.drop(at)
		s.ask(now, r, k, f, at, Action{
			Opens: true, Reason: LeastLoaded, Header: gdguard.Header{Forced: true, Urgent: r.Priority <= urgentPriority},
		})
		return
	}
	if sr.allAnswered() && !sr.silent {
		// Each upstream has refused, so the request has not run. One that said nothing
		// may have accepted the flow.
		s.refuse(k, f, NoUpstream)
		return
	}
	s.lose(now, k, f)
}

// refuse ends the search for an upstream that takes the flow, and the flow at its
// caller. No upstream has accepted it.
func (s *Dispatcher) refuse(k gdflow.Key, f *flow, why Reason) {
	tries := len(f.search.tries)
	s.finish(f)
	f.state = 0
	s.add(Action{Verb: Reset, Key: k, Reason: why, Attempts: tries})
}

// hold lets a flow wait that all upstreams have too much work for, or refuses it when
// it has waited for its goal.
func (s *Dispatcher) hold(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	sr := f.search
	if now.Sub(sr.began) >= min(max(r.LatencyObjective, leastHold), mostHold) {
		if sr.silent {
			s.lose(now, k, f)
			return
		}
		s.refuse(k, f, Overloaded)
		return
	}
	sr.holding = true
	s.await(k, sr, now.Add(holdTime))
}

// offerAgain offers a flow that has waited to all upstreams anew.
func (s *Dispatcher) offerAgain(now time.Time, k gdflow.Key, f *flow) {
	f.search.holding, f.search.forced = false, false
	f.search.tries = f.search.tries[:0]
	if r, ok := s.view.Route(k.Service()); ok {
		s.nextOpen(now, r, k, f)
	}
}

// nextLook asks the next upstream whether it holds the flow. Once the likely ones
// have said no, it asks all others, if their answers can show that the flow is gone.
func (s *Dispatcher) nextLook(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	hash := k.Hash()
	for len(f.search.tries) < serialTries {
		m := s.nextHolder(hash, r, f.search)
		if m == nil {
			break
		}
		s.ask(now, r, k, f, m.Address(), Action{Reason: ByRank, Header: gdguard.Header{Confirm: true}})
		if !s.hosts.suspect(now, m.Address()) {
			return
		}
	}
	if s.nextHolder(hash, r, f.search) != nil && s.mayWiden(now, r) {
		s.askOthers(now, r, k, f)
	}
	if !now.Before(f.search.deadline) || f.search.allAnswered() {
		s.askAgain(now, r, k, f)
	}
}

// askOthers asks all upstreams that were not asked yet.
func (s *Dispatcher) askOthers(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	asked := len(f.search.tries)
	for m := range s.members(r) {
		known := slices.ContainsFunc(f.search.tries[:asked], func(t try) bool { return t.at.IP() == m.Address().IP() })
		if !known {
			f.search.tries = append(f.search.tries, try{at: m.Address(), question: true})
			s.question(now, k, m)
		}
	}
	s.await(k, f.search, now.Add(gatherTime+answerTime))
}

// mayWiden reports whether all upstreams of the route may be asked: their answers can
// show that the flow is gone, since none is known not to answer, and not too many
// searches have asked all lately.
func (s *Dispatcher) mayWiden(now time.Time, r *gddiscovery.Route) bool {
	if now.Sub(s.confirmed) > freshAge {
		return false
	}
	for m := range s.members(r) {
		if s.hosts.suspect(now, m.Address()) && !left(now, m) {
			return false
		}
	}
	return s.wide.take(now, widePerSecond, wideBurst)
}

// askAgain asks the upstreams once more that have not answered, or ends the search
// if there are none or they were asked often enough.
func (s *Dispatcher) askAgain(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	sr := f.search
	if sr.allAnswered() && sr.waits < mostViewWaits && s.nextHolder(0, r, sr) == nil && s.behind(sr) {
		sr.waits++
		s.await(k, sr, now.Add(viewWait))
		return
	}
	if sr.rounds >= mostRounds || s.provesGone(now, r, sr) || sr.allAnswered() {
		s.conclude(now, r, k, f)
		return
	}
	sr.rounds++
	s.await(k, sr, now.Add(answerTime<<sr.rounds))
	for i := range sr.tries {
		if t := &sr.tries[i]; !t.answered {
			s.repeat(now, r, k, sr, t)
		}
	}
}

// repeat asks an upstream again that has not answered.
func (s *Dispatcher) repeat(now time.Time, r *gddiscovery.Route, k gdflow.Key, sr *search, t *try) {
	m := s.member(r, t.at)
	switch {
	case m == nil:
	case t.question:
		s.question(now, k, m)
	case sr.packet != nil:
		s.forwardTo(now, m, sr.show(k))
	}
}

// await sets the time at which the search goes on without an answer.
func (s *Dispatcher) await(k gdflow.Key, sr *search, at time.Time) {
	if sr.deadline.Equal(at) {
		return
	}
	sr.deadline = at
	i, _ := slices.BinarySearchFunc(s.timers, at, func(t timer, at time.Time) int { return t.at.Compare(at) })
	s.timers = slices.Insert(s.timers, i, timer{key: k, at: at})
}

// left reports whether the upstream's registration was removed so long ago that a
// live one would be back.
func left(now time.Time, m *gddiscovery.Member) bool {
	since, gone := m.Removed()
	return gone && now.Sub(since) >= leftAfter
}

// conclude ends a search in which no upstream has said that it holds the flow.
func (s *Dispatcher) conclude(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow) {
	if !s.provesGone(now, r, f.search) {
		s.lose(now, k, f)
		return
	}
	tries, seq := len(f.search.tries), f.search.ack
	s.finish(f)
	f.state = gone
	s.add(Action{Verb: Reset, Key: k, Seq: seq, Reason: FlowGone, Attempts: tries})
}

// nextHolder returns the next upstream that may hold the flow. The service that
// the flow would go to now comes first.
func (s *Dispatcher) nextHolder(hash uint64, r *gddiscovery.Route, sr *search) *gddiscovery.Member {
	all := func(*gddiscovery.Member) bool { return true }
	chosen := r.PickService(hash)
	if p, ok := s.view.Pool(chosen); ok {
		if m := s.best(hash, p, sr, all); m != nil {
			return m
		}
	}
	for _, share := range r.Shares {
		if p, ok := s.view.Pool(share.Service); ok && share.Service != chosen {
			if m := s.best(hash, p, sr, all); m != nil {
				return m
			}
		}
	}
	return nil
}

// provesGone reports whether the search has shown that no upstream holds the flow:
// each one that could has said so, and the view is recent enough to name them all.
func (s *Dispatcher) provesGone(now time.Time, r *gddiscovery.Route, sr *search) bool {
	if len(sr.tries) == 0 || now.Sub(s.confirmed) > freshAge || s.nextHolder(0, r, sr) != nil {
		return false
	}
	for _, t := range sr.tries {
		if m := s.member(r, t.at); (!t.answered || t.unsure) && m != nil && !left(now, m) {
			return false
		}
	}
	return !s.behind(sr)
}

// behind reports whether agents had shown a higher revision than the view's when the
// last upstream of the search answered. Later ones don't count, or a search would have
// no end while registrations come one after the other.
func (s *Dispatcher) behind(sr *search) bool {
	if sr.need == 0 {
		sr.need = max(s.newest, 1)
	}
	return s.view.Revision() < sr.need
}

// ask sends the packet of the search to an upstream and waits for the answer.
func (s *Dispatcher) ask(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow, at gdflow.Address, a Action) {
	sr := f.search
	sr.tries = append(sr.tries, try{at: at})
	s.await(k, sr, now.Add(answerTime))
	if sr.packet == nil {
		return
	}
	a.Key, a.Packet, a.Attempts = k, sr.packet, len(sr.tries)
	s.forward(now, r, at, a)
}

// maxLosses is where the time between two searches no longer doubles.
const maxLosses = 4

// lose gives up a search for now.
func (s *Dispatcher) lose(now time.Time, k gdflow.Key, f *flow) {
	tries := len(f.search.tries)
	s.finish(f)
	f.state, f.until = lost, now.Add(min(lostTime<<f.losses, mostLostTime))
	f.losses = min(f.losses+1, maxLosses)
	s.add(Action{Verb: Drop, Key: k, Reason: NotFound, Attempts: tries})
}

// show returns the action that shows an upstream the packet of the search.
func (s *search) show(k gdflow.Key) Action {
	return Action{Key: k, Packet: s.packet, Attempts: len(s.tries), Reason: Broadcast, Header: gdguard.Header{Confirm: true}}
}

// wait keeps a packet until the search ends.
func (s *search) wait(raw []byte) {
	if s.packet != nil && len(s.later) < mostLater {
		s.later = append(s.later, append([]byte(nil), raw...))
	}
}

func (s *search) busy() int {
	n := 0
	for _, t := range s.tries {
		if t.busy {
			n++
		}
	}
	return n
}

func (s *search) allAnswered() bool {
	for _, t := range s.tries {
		if !t.answered {
			return false
		}
	}
	return true
}

// drop forgets that the upstream was asked.
func (s *search) drop(at gdflow.Address) {
	for i := range s.tries {
		if s.tries[i].at == at {
			s.tries = append(s.tries[:i], s.tries[i+1:]...)
			return
		}
	}
}
