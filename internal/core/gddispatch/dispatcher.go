// Package gddispatch decides at an entry host to which upstream a packet goes.
//
// A flow's upstreams are ranked by rendezvous hashing, the same way on all entry
// hosts. A packet that opens a flow goes to the first in the ranking that takes
// new flows; an agent whose upstream is busy gives it back, and the next is asked.
// A packet of a flow that this host does not know goes along the same ranking
// until the agent that holds the flow has it. What was found is remembered.
//
// # Usage
//
//	s := &gddispatch.Steer{}
//	s.SetView(now, view)
//	for _, a := range s.FromCaller(now, packet, datagram) {
//		...
//	}
//
// Answers of agents go to Returned, Accepted and Held. Tick is called at NextTick
// or later. Actions are valid until the next call. A Steer belongs to one
// goroutine.
package gddispatch

import (
	"iter"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// keepFlow is how long an unused flow is remembered at least: the longest idle
	// timeout in the users' settings, doubled by the map's second generation.
	keepFlow = 15 * time.Second
	// mostFlows bounds one generation of flows, to a few megabytes.
	mostFlows = 1 << 15
	// mostPackets bounds the packets kept for another try: 1.3 kB each, 1.3 MB.
	mostPackets = 1024
	// answerTime is how long an agent may take to answer: several round trips
	// between failure domains and the work of a slowed host.
	answerTime = 30 * time.Millisecond
	// mostRounds is how often an upstream that does not answer whether it holds a
	// flow is asked again, each time after twice the time: half a second in all, in
	// which a host that was paused or flooded answers.
	mostRounds = 3
	// serialTries is how many upstreams are asked one after the other for a flow,
	// before all others are asked at once: one more than a new flow is offered to.
	serialTries = busyTries + 1
	// widePerSecond and wideBurst bound the searches that ask all upstreams, which
	// show that a flow is gone: after a loss of power all flows are looked for at
	// once, on links of 10 Mbit/s, and the questions take 1 kB for 40 upstreams.
	widePerSecond = 500
	wideBurst     = 250
	// unsurePerSecond and unsureBurst bound the packets for agents that can't tell
	// without one: half of such a link.
	unsurePerSecond = 2000
	unsureBurst     = 1000
	// gatherTime is how long questions wait for others to the same agents: little
	// beside the shortest goal in the users' settings, 100 ms.
	gatherTime = 15 * time.Millisecond
	// mostLater is how many packets of a flow wait for the end of its search: what
	// an end has in flight on the users' platform.
	mostLater = 16
	// busyTries is how many busy upstreams are asked before the least loaded one
	// gets the flow all the same.
	busyTries = 3
	// holdTime is the time after which a flow is offered again that all upstreams have
	// too much work for: about a request's work.
	holdTime = 20 * time.Millisecond
	// leastHold and mostHold bound how long a flow waits so; between them it is its
	// route's goal, after which no answer could be in time.
	leastHold = 50 * time.Millisecond
	mostHold  = 250 * time.Millisecond
	// urgentPriority is the last priority that counts as urgent.
	urgentPriority = 1
	// lostTime is how long a flow that was not found is not searched for again, less
	// than the callers' shortest time before they send a packet again. It doubles
	// with each search up to mostLostTime.
	lostTime     = 150 * time.Millisecond
	mostLostTime = 1200 * time.Millisecond
	// viewWait is the time after which a search that needs a newer view looks for it
	// again: half the time between two beacons. mostViewWaits bounds how often, to
	// less than a second.
	viewWait      = 50 * time.Millisecond
	mostViewWaits = 8
	// freshAge is the age of the view up to which it proves that a flow is gone.
	freshAge = 2500 * time.Millisecond
	// earlyTime is how long a packet waits for the first view: callers send it again after
	// 200 ms, and after a loss of power older ones would come back in a crowd. mostEarly
	// bounds them, to 0.3 MB.
	earlyTime = 150 * time.Millisecond
	mostEarly = 256
	// leftAfter is how long after its removal from the view an upstream that does
	// not answer is taken for gone: the time that a live one needs to register
	// again after an outage, as the users' letter says.
	leftAfter = 2 * time.Second
)

// Dispatcher is the decision core of an entry host. Its exported fields are set before
// the first call.
type Dispatcher struct {
	// OnSuspect, if set, is told when a host becomes suspect and when it answers again.
	OnSuspect func(host gdflow.Address, suspect bool)
	// OnResolved, if set, is told how long a flow's upstream was looked for, or how long
	// the flow was on offer, when an upstream has it.
	OnResolved func(took time.Duration)

	view      *gddiscovery.View
	confirmed time.Time
	newest    uint64 // the highest revision that an agent has shown
	flows     gdcache.Cache[gdflow.Key, *flow]
	hosts     hosts
	timers    []timer
	wide      bucket
	unsure    bucket
	questions questions
	early     []early // packets that came before the first view
	cutOff    bool
	pingDue   time.Time // the zero time unless cut off
	packets   int
	actions   []Action
}

// told is what an agent must hear at once when it changes.
type told struct {
	takesNew bool
	born     int64
}

func toldOf(now time.Time, m *gddiscovery.Member) told {
	return told{takesNew: m.AcceptsNew(now), born: m.Upstream().StartUnixMilli}
}

// early is a packet that waits for the first view.
type early struct {
	at     time.Time
	packet gdflow.Packet
	raw    []byte
}

// timer is the time at which a search goes on without an answer.
type timer struct {
	key gdflow.Key
	at  time.Time
}

// SetView puts a view in force. It returns what the agents are to be told whose
// upstreams begin or cease to take new flows, or have started again: another entry host
// may not know of the change yet, and the agent is the last to check. The first view
// also decides on the packets that have waited for it.
func (s *Dispatcher) SetView(now time.Time, v *gddiscovery.View) []Action {
	s.init()
	before := make(map[gdflow.Address]told)
	if s.view != nil {
		for _, m := range s.view.Upstreams() {
			before[m.Address()] = toldOf(now, m)
		}
	}
	s.view = v
	for _, m := range v.Upstreams() {
		was, known := before[m.Address()]
		p, ok := v.Pool(m.Upstream().Service)
		if ok && known && was != toldOf(now, m) {
			s.add(Action{Verb: SendStatus, To: m.Address(), Header: s.carryTo(now, p, m)})
		}
	}
	for _, e := range s.early {
		if now.Sub(e.at) <= earlyTime {
			s.fromCaller(now, e.packet, e.raw)
		}
	}
	s.early = nil
	return s.actions
}

// ConfirmView notes that the view held at the time.
func (s *Dispatcher) ConfirmView(at time.Time) { s.confirmed = at }

// Flows returns the number of flows that are remembered.
func (s *Dispatcher) Flows() int { return s.flows.Len() }

// Lookups returns the number of searches that wait for an answer.
func (s *Dispatcher) Lookups() int { return s.packets }

// Suspects returns the number of hosts that have stopped answering.
func (s *Dispatcher) Suspects(now time.Time) int { return s.hosts.suspects(now) }

func (s *Dispatcher) init() {
	if s.flows.MinTTL == 0 {
		s.flows = gdcache.Cache[gdflow.Key, *flow]{MinTTL: keepFlow, MaxPerGeneration: mostFlows, OnEvict: s.dropped}
	}
	s.hosts.changed = s.OnSuspect
	s.actions = s.actions[:0]
}

func (s *Dispatcher) dropped(_ gdflow.Key, f *flow) { s.finish(f) }

func (s *Dispatcher) add(a Action) { s.actions = append(s.actions, a) }

// HandleCallerPacket decides on a caller's packet. Raw is the packet itself.
func (s *Dispatcher) HandleCallerPacket(now time.Time, p gdflow.Packet, raw []byte) []Action {
	s.init()
	switch {
	case s.view != nil:
		s.fromCaller(now, p, raw)
	case len(s.early) < mostEarly:
		s.early = append(s.early, early{at: now, packet: p, raw: append([]byte(nil), raw...)})
		s.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
	default:
		s.add(Action{Verb: Drop, Key: p.Key(), Reason: NotReady})
	}
	return s.actions
}

func (s *Dispatcher) fromCaller(now time.Time, p gdflow.Packet, raw []byte) {
	r, ok := s.view.Route(p.Key().Service())
	if !ok {
		s.flows.Delete(p.Key())
		s.add(Action{Verb: Reset, Key: p.Key(), Seq: p.Ack, Reason: NoRoute})
		return
	}
	f := s.flow(now, p.Key())
	if p.Opens() {
		s.callerOpens(now, r, f, p, raw)
	} else {
		s.callerSends(now, r, f, p, raw)
	}
}

// flow returns what is remembered of a flow, from now on at least.
func (s *Dispatcher) flow(now time.Time, k gdflow.Key) *flow {
	f, known := s.flows.Get(now, k)
	if !known {
		f = &flow{}
		s.flows.Put(now, k, f)
	}
	return f
}

// callerOpens handles a packet that opens a flow, or a copy of one.
func (s *Dispatcher) callerOpens(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	const secondCopy = 2
	switch f.state {
	case settled:
		if p.Retransmits() < secondCopy {
			s.forward(now, r, f.at, Action{Key: p.Key(), Packet: raw, Opens: true, Reason: Known})
			return
		}
	case opening:
		s.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
		return
	case 0:
		// No upstream can have accepted the first copy, and another host can offer it.
		if s.cutOff && p.Retransmits() == 0 {
			s.add(Action{Verb: Reset, Key: p.Key(), Reason: CutOff})
			return
		}
	}
	s.begin(now, f, opening, p, raw)
	s.nextOpen(now, r, p.Key(), f)
}

// callerSends handles a packet in the middle of a flow.
func (s *Dispatcher) callerSends(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	switch f.state {
	case settled:
		m := s.member(r, f.at)
		if m == nil {
			// The address went to another service, or was forgotten.
			s.begin(now, f, looking, p, raw)
			s.nextLook(now, r, p.Key(), f)
			return
		}
		s.forwardTo(now, m, Action{Key: p.Key(), Packet: raw, Reason: Known})
	case opening:
		if f.search.holding {
			s.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
			return
		}
		at := f.search.last().at
		s.forward(now, r, at, Action{Key: p.Key(), Packet: raw, Reason: Waiting, Header: gdguard.Header{Confirm: true}})
	case looking:
		f.search.wait(raw)
		s.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
	case gone:
		s.add(Action{Verb: Reset, Key: p.Key(), Seq: p.Ack, Reason: FlowGone})
	case lost:
		if now.Before(f.until) {
			s.add(Action{Verb: Drop, Key: p.Key(), Reason: NotFound})
			return
		}
		fallthrough
	default:
		s.begin(now, f, looking, p, raw)
		s.nextLook(now, r, p.Key(), f)
	}
}

// begin starts a search for the flow's upstream.
func (s *Dispatcher) begin(now time.Time, f *flow, st state, p gdflow.Packet, raw []byte) {
	s.finish(f)
	f.state = st
	f.search = &search{ack: p.Ack, began: now}
	s.packets++
	if s.packets <= mostPackets {
		f.search.packet = append([]byte(nil), raw...)
	}
}

// finish ends a search.
func (s *Dispatcher) finish(f *flow) {
	if f.search != nil {
		f.search = nil
		s.packets--
	}
}

// settle ends the search and sends on what has waited for its end.
func (s *Dispatcher) settle(now time.Time, k gdflow.Key, f *flow, at gdflow.Address) {
	var later [][]byte
	if f.search != nil {
		later = f.search.later
		if s.OnResolved != nil {
			s.OnResolved(now.Sub(f.search.began))
		}
	}
	s.finish(f)
	f.state, f.at, f.losses = settled, at, 0
	r, ok := s.view.Route(k.Service())
	for _, raw := range later {
		if ok {
			s.forward(now, r, at, Action{Key: k, Packet: raw, Reason: Known})
		}
	}
}

// forward adds the action of sending a packet to the agent of the upstream at the
// address.
func (s *Dispatcher) forward(now time.Time, r *gddiscovery.Route, to gdflow.Address, a Action) {
	m := s.member(r, to)
	if m == nil {
		a.Verb, a.To, a.Reason = Drop, to, NotFound
		s.add(a)
		return
	}
	s.forwardTo(now, m, a)
}

// forwardTo adds the action of sending a packet to an upstream's agent.
func (s *Dispatcher) forwardTo(now time.Time, m *gddiscovery.Member, a Action) {
	a.Verb, a.To = Forward, m.Address()
	p, ok := s.view.Pool(m.Upstream().Service)
	if !ok {
		a.Verb, a.Reason = Drop, NotFound
		s.add(a)
		return
	}
	a.Header.Service = p.Hash()
	if a.Opens {
		a.Header.Status = s.standing(now, p, m)
	}
	s.add(a)
}

// members yields the upstreams to which the route leads.
func (s *Dispatcher) members(r *gddiscovery.Route) iter.Seq[*gddiscovery.Member] {
	return func(yield func(*gddiscovery.Member) bool) {
		for i := range r.Shares {
			p, ok := s.view.Pool(r.Shares[i].Service)
			if !ok {
				continue
			}
			for _, m := range p.Members() {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// member returns the upstream at the address, if the route leads to it.
func (s *Dispatcher) member(r *gddiscovery.Route, at gdflow.Address) *gddiscovery.Member {
	for m := range s.members(r) {
		if m.Address() == at {
			return m
		}
	}
	return nil
}

// carryTo returns what an agent is told without a packet.
func (s *Dispatcher) carryTo(now time.Time, p *gddiscovery.Pool, m *gddiscovery.Member) gdguard.Header {
	return gdguard.Header{Service: p.Hash(), Status: s.standing(now, p, m)}
}

// standing returns what an agent is told of its upstream.
func (s *Dispatcher) standing(now time.Time, p *gddiscovery.Pool, m *gddiscovery.Member) gdguard.UpstreamStatus {
	const most = 1<<8 - 1
	return gdguard.UpstreamStatus{
		Revision:           s.view.Revision(),
		AcceptsNew:         m.AcceptsNew(now),
		Slots:              uint8(min(max(m.Upstream().Slots, 1), most)),
		ColdFlowsPerSecond: uint16(min(max(p.Service().ColdFlowsPerSecond, 0), 1<<16-1)),
		ColdLeft:           m.ColdLeft(now),
		ColdFor:            p.Service().ColdFor,
		StartUnixMilli:     m.Upstream().StartUnixMilli,
	}
}
