package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// questions gathers the flows that agents are to be asked about, so that a message asks
// about many: after a loss of power each flow is asked for at each upstream.
type questions struct {
	due  time.Time // the zero time if there are none
	list []question
	of   map[gdflow.Address]int // where the list has an upstream
}

type question struct {
	to    gdflow.Address
	carry gdguard.Header
	keys  []gdflow.Key
}

// question has the agent of an upstream asked about a flow.
func (s *Dispatcher) question(now time.Time, k gdflow.Key, m *gddiscovery.Member) {
	p, ok := s.view.Pool(m.Upstream().Service)
	if !ok {
		return
	}
	q := &s.questions
	i, ok := q.of[m.Address()]
	if !ok || q.list[i].carry.Service != p.Hash() {
		if q.of == nil {
			q.of = make(map[gdflow.Address]int)
		}
		i = len(q.list)
		q.of[m.Address()] = i
		q.list = append(q.list, question{to: m.Address(), carry: s.carryTo(now, p, m)})
	}
	q.list[i].keys = append(q.list[i].keys, k)
	if q.due.IsZero() {
		q.due = now.Add(gatherTime)
	}
	if len(q.list[i].keys) == gdguard.MaxQueryFlows {
		s.askOne(q.list[i])
		q.list[i].keys = nil
	}
}

// askAll asks the questions that have gathered.
func (s *Dispatcher) askAll() {
	for _, q := range s.questions.list {
		if len(q.keys) > 0 {
			s.askOne(q)
		}
	}
	s.questions = questions{}
}

func (s *Dispatcher) askOne(q question) {
	s.add(Action{Verb: Query, To: q.to, Keys: q.keys, Header: q.carry, Reason: Broadcast})
}

// HandleHoldings goes on with the searches for the flows about which an agent says something.
func (s *Dispatcher) HandleHoldings(now time.Time, from gdflow.Address, revision uint64, keys []gdflow.Key, says []gdguard.Holding) []Action {
	s.init()
	s.heard(now, from)
	s.newest = max(s.newest, revision)
	if s.view == nil {
		return nil
	}
	for i, k := range keys {
		f, ok := s.flows.Get(now, k)
		if !ok || f.state != looking {
			continue
		}
		t := f.search.of(from)
		if r, ok := s.view.Route(k.Service()); ok && t != nil && !t.answered && t.question {
			s.said(now, r, k, f, t, says[i])
		}
	}
	return s.actions
}

// said goes on with the search for one flow.
func (s *Dispatcher) said(now time.Time, r *gddiscovery.Route, k gdflow.Key, f *flow, t *try, says gdguard.Holding) {
	sr := f.search
	switch {
	case says == gdguard.Present:
		if sr.packet != nil {
			sr.later = slices.Insert(sr.later, 0, sr.packet)
		}
		s.settle(now, k, f, t.at)
		return
	case says == gdguard.Absent:
		t.answered = true
	case sr.packet == nil || !s.unsure.take(now, unsurePerSecond, unsureBurst):
		t.answered, t.unsure = true, true
	default:
		t.question = false
		s.await(k, sr, now.Add(answerTime))
		s.forward(now, r, t.at, sr.show(k))
	}
	if sr.allAnswered() {
		s.nextLook(now, r, k, f)
	}
}
