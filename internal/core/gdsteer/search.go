package gdsteer

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbelief"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// best returns the upstream that ranks first for the flow among those that the
// filter lets through and that were not asked yet.
func (s *Steer) best(hash uint64, p *gdbelief.Pool, sr *search, ok func(*gdbelief.Member) bool) *gdbelief.Member {
	var first *gdbelief.Member
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
func (s *Steer) nextOpen(now time.Time, r *gdbelief.Route, k gdflow.Key, f *flow) {
	sr := f.search
	hash := k.Hash()
	var m *gdbelief.Member
	if p, ok := s.view.Pool(r.Choose(hash)); ok && sr.busy() < busyTries {
		m = s.best(hash, p, sr, func(m *gdbelief.Member) bool { return m.TakesNew(now) && !s.hosts.suspect(now, m.Address()) })
		if m == nil && sr.least() == nil {
			m = s.best(hash, p, sr, func(m *gdbelief.Member) bool { return m.TakesNew(now) })
		}
	}
	if m != nil {
		s.ask(now, r, k, f, m.Address(), Action{Opens: true, Reason: ByRank})
		return
	}
	if t := sr.least(); t != nil {
		t.busy = false
		at := t.at
		sr.drop(at)
		s.ask(now, r, k, f, at, Action{Opens: true, Reason: LeastLoaded, Carry: gdguard.Carry{Forced: true}})
		return
	}
	if sr.allAnswered() {
		// Each upstream has refused, so the request has not run.
		s.finish(f)
		f.state = 0
		s.add(Action{Verb: Reset, Key: k, Reason: NoUpstream, Tries: len(sr.tries)})
		return
	}
	s.lose(now, k, f)
}

// nextLook asks the next upstream whether it holds the flow.
func (s *Steer) nextLook(now time.Time, r *gdbelief.Route, k gdflow.Key, f *flow) {
	hash := k.Hash()
	for {
		m := s.nextHolder(hash, r, f.search)
		if m == nil {
			break
		}
		s.ask(now, r, k, f, m.Address(), Action{Reason: ByRank, Carry: gdguard.Carry{Confirm: true}})
		if !s.hosts.suspect(now, m.Address()) {
			return
		}
	}
	if s.provesGone(now, r, f.search) {
		tries, seq := len(f.search.tries), f.search.ack
		s.finish(f)
		f.state = gone
		s.add(Action{Verb: Reset, Key: k, Seq: seq, Reason: FlowGone, Tries: tries})
		return
	}
	s.lose(now, k, f)
}

// nextHolder returns the next upstream that may hold the flow. The service that
// the flow would go to now comes first.
func (s *Steer) nextHolder(hash uint64, r *gdbelief.Route, sr *search) *gdbelief.Member {
	all := func(*gdbelief.Member) bool { return true }
	chosen := r.Choose(hash)
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
func (s *Steer) provesGone(now time.Time, r *gdbelief.Route, sr *search) bool {
	if len(sr.tries) == 0 || now.Sub(s.confirmed) > freshAge || s.Behind() {
		return false
	}
	for _, t := range sr.tries {
		if t.answered {
			continue
		}
		m := s.member(r, t.at)
		if m == nil {
			continue
		}
		if since, left := m.Gone(); !left || now.Sub(since) < leftAfter {
			return false
		}
	}
	return true
}

// ask sends the packet of the search to an upstream and waits for the answer.
func (s *Steer) ask(now time.Time, r *gdbelief.Route, k gdflow.Key, f *flow, at gdflow.Address, a Action) {
	sr := f.search
	sr.tries = append(sr.tries, try{at: at})
	sr.deadline = now.Add(answerTime)
	s.timers = append(s.timers, timer{key: k, at: sr.deadline})
	if sr.packet == nil {
		return
	}
	a.Key, a.Packet, a.Tries = k, sr.packet, len(sr.tries)
	s.forward(now, r, at, a)
}

// lose gives up a search for now.
func (s *Steer) lose(now time.Time, k gdflow.Key, f *flow) {
	tries := len(f.search.tries)
	s.finish(f)
	f.state, f.until = lost, now.Add(lostTime)
	s.add(Action{Verb: Drop, Key: k, Reason: NotFound, Tries: tries})
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
