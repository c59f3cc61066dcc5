// Package gdguard decides at the agent which packets reach its upstream.
//
// The agent sees every packet from and to its upstream, so it knows exactly which
// flows the upstream holds, how much it works on, and whether it answers. Entry
// hosts may act on old views or on none; the guard is the last check.
//
// # Usage
//
//	g := &gdguard.Guard{Service: "booking", Fresh: true}
//	for _, a := range g.FromEntry(now, entry, carry, packet) {
//		...
//	}
//	for _, a := range g.FromUpstream(now, packet) {
//		...
//	}
//
// Actions are valid until the next call. A Guard belongs to one goroutine.
package gdguard

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// keepFlow is how long a silent flow is remembered at least: the longest idle
	// timeout in the users' settings, doubled by the map's second generation.
	keepFlow = 15 * time.Second
	// mostFlows bounds one generation of flows: the connections of one upstream in
	// the users' settings, with room for flows that have ended.
	mostFlows = 8192
	// sameStart is how far apart the starts of an agent and of its upstream may be for
	// both to have started together: less than any platform takes to start a process
	// again, so that no earlier agent can have let a flow in.
	sameStart = 100 * time.Millisecond
	// sureAfter is the age from which the agent has seen every flow that its
	// upstream can still hold: the longest life of a flow in the users' settings.
	sureAfter = 60 * time.Second
	// answerTime is how long an upstream may take to answer a request for a flow.
	// Upstreams answer within a millisecond; this leaves room for a slowed host.
	answerTime = 60 * time.Millisecond
	// silentAfter is how many requests for flows in a row go unanswered before the
	// upstream counts as silent. Two could be lost on their own.
	silentAfter = 3
	// forcedDepth and urgentDepth are how many requests for each slot an upstream may
	// have when a flow is let in because none has a free slot: so many that the last
	// one's wait is two or three times its work, which the users' goals allow.
	forcedDepth = 3
	urgentDepth = 4
	// probeInterval is how often a silent upstream gets a request for a flow.
	probeInterval = 200 * time.Millisecond
	// returnTime is how long an upstream takes at most to return a packet of a flow
	// that it does not hold, which it does at once and on the same host.
	returnTime = 5 * time.Millisecond
	// doubtTime is how long an upstream at work says nothing before the agent looks
	// whether its process is there: longer than nearly all requests take.
	doubtTime = 150 * time.Millisecond
	// doubtInterval is the time between two such looks.
	doubtInterval = 500 * time.Millisecond
)

// Header is what an entry host says of a packet that it sends.
type Header struct {
	// Service is the short hash of the service that the flow is for.
	Service uint32
	// Status is set for packets that open a flow.
	Status UpstreamStatus
	// Forced says that no upstream with free slots was found, and Urgent that the
	// flow is for requests of the first priorities.
	Forced, Urgent bool
	// Confirm asks to be told when the upstream holds the flow.
	Confirm bool
}

// state is what the agent knows of a flow.
type state uint8

const (
	// unknown flows were delivered to see whether the upstream returns them.
	unknown state = iota
	// absent flows were returned by the upstream.
	absent
	// asked flows wait for the upstream's acceptance.
	asked
	// half flows were accepted by the upstream and not yet confirmed by the caller.
	half
	// open flows are held.
	open
)

type flow struct {
	entry    gdflow.Address
	state    state
	confirm  bool
	working  bool
	offered  bool      // it counts as work, and its request has not come
	since    time.Time // when the request at work was let in
	accepted uint32    // the upstream's number in its acceptance
	expected uint32    // the next byte that the caller expects
}

// triedFlow is an unknown flow whose packet was given to the upstream.
type triedFlow struct {
	key gdflow.Key
	f   *flow
	at  time.Time
}

// Guard is the decision core of the agent. Its exported fields are set before the
// first call.
type Guard struct {
	// Service is the name of the upstream's service.
	Service string
	// ObservedFromStart says that the upstream has started no earlier than the agent.
	ObservedFromStart bool
	// AgentStarted is when the agent's process started. The day's clock may be wrong.
	AgentStarted time.Time
	// OnAnswer, if set, is told how long a request was with the upstream until the
	// first bytes of its answer.
	OnAnswer func(took time.Duration)

	started  time.Time
	standing UpstreamStatus
	coldTill time.Time
	restart  restart
	flows    gdcache.Cache[gdflow.Key, *flow]
	work     workload
	cold     budget
	tried    []triedFlow
	answers  answers
	leaving  bool
	ended    bool
	// endedAt is when the upstream's process was found to be gone, endedBorn when it had
	// been born.
	endedAt   time.Time
	endedBorn int64
	heard     time.Time // the last packet of the upstream
	doubted   time.Time
	actions   []Action
}

func (g *Guard) init(now time.Time) {
	if g.started.IsZero() {
		g.started = now
		g.flows = gdcache.Cache[gdflow.Key, *flow]{MinTTL: keepFlow, MaxPerGeneration: mostFlows, OnEvict: g.dropped}
	}
	g.actions = g.actions[:0]
}

func (g *Guard) dropped(_ gdflow.Key, f *flow) { g.work.end(f) }

// Load returns how many requests the upstream works on or has waiting.
func (g *Guard) Load() int { return g.work.n }

// Flows returns the number of flows that are remembered.
func (g *Guard) Flows() int { return g.flows.Len() }

// Revision returns the highest revision that an entry host has shown.
func (g *Guard) Revision() uint64 { return g.standing.Revision }

// Status returns the newest standing of the upstream.
func (g *Guard) Status() UpstreamStatus { return g.standing }

// Leave makes the guard refuse new flows because the agent shuts down.
func (g *Guard) Leave() { g.leaving = true }

func (g *Guard) serves(c Header) bool { return c.Service == gddiscovery.ServiceHash(g.Service) }

// sure reports whether a flow that the guard does not know can't be held.
func (g *Guard) sure(now time.Time) bool {
	return g.ObservedFromStart || now.Sub(g.started) > sureAfter
}

// UpdateStatus takes in the standing of a service's upstream, unless a newer one is known or
// it is about another service, whose address this host may have had. It reports
// whether the belief has changed.
func (g *Guard) UpdateStatus(now time.Time, c Header) bool {
	s := c.Status
	if s.Revision < g.standing.Revision || !g.serves(c) {
		return false
	}
	changed := s.AcceptsNew != g.standing.AcceptsNew || g.standing.Revision == 0
	if s.Revision > g.standing.Revision || now.Add(s.ColdLeft).After(g.coldTill) {
		g.coldTill = now.Add(s.ColdLeft)
	}
	g.standing = s
	if g.restart.told(s.StartUnixMilli) {
		g.restart = restart{}
	}
	g.ObservedFromStart = g.ObservedFromStart || g.startedWith(s.StartUnixMilli)
	return changed
}

// restart is a start of the upstream that the agent has seen and was not told of. The
// zero value is none.
type restart struct {
	at    time.Time // when the agent saw it
	after time.Time // when the process before it was still there, or was away
	born  int64     // when the process before it was born, or 0
}

// told reports whether a standing of an upstream that was born at the time, in Unix
// milliseconds, is that of the new process.
func (r restart) told(born int64) bool {
	if r.born != 0 {
		return born != r.born
	}
	return born >= r.after.Add(-sameStart).UnixMilli()
}

// restarted notes that the upstream may have started again after a time: nobody may
// know of it yet, and it is cold for a while.
func (g *Guard) restarted(now, after time.Time) {
	r := restart{at: now, after: after, born: g.standing.StartUnixMilli}
	if g.ended {
		r.born = g.endedBorn
	}
	if g.restart.at.IsZero() && !r.told(g.standing.StartUnixMilli) {
		g.restart = r
	}
}

// startedWith reports whether the upstream, which was born at the Unix millisecond, has
// started together with the agent. Both times are from one host's clock. A clock that
// jumps between the two starts makes them look far apart, but for one jump in hundreds.
func (g *Guard) startedWith(born int64) bool {
	return born != 0 && !g.AgentStarted.IsZero() && g.AgentStarted.Sub(time.UnixMilli(born)).Abs() <= sameStart
}

// Holding says what is known about a flow for which an entry host has no packet to spare.
func (g *Guard) Holding(now time.Time, service uint32, k gdflow.Key) Holding {
	g.init(now)
	f, known := g.flows.Get(now, k)
	switch {
	case !g.serves(Header{Service: service}) || known && f.state == absent:
		return Absent
	case known && f.state == open:
		return Present
	case !known && (g.ended || g.sure(now)):
		return Absent
	}
	return Unsure
}

// HandleEntryPacket decides on a packet that an entry host has sent.
func (g *Guard) HandleEntryPacket(now time.Time, entry gdflow.Address, c Header, p gdflow.Packet) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleTried(now)
	switch {
	case !g.serves(c):
		g.giveBack(p.Key(), entry, WrongService)
	case p.Opens():
		g.openFlow(now, entry, c, p)
	default:
		g.carry(now, entry, c, p)
	}
	return g.actions
}

func (g *Guard) giveBack(k gdflow.Key, entry gdflow.Address, r Reason) {
	g.add(Action{Verb: Return, Key: k, Entry: entry, Reason: r})
}

func (g *Guard) add(a Action) { g.actions = append(g.actions, a) }

// openFlow decides on a packet that opens a flow.
func (g *Guard) openFlow(now time.Time, entry gdflow.Address, c Header, p gdflow.Packet) {
	g.UpdateStatus(now, c)
	f, known := g.flows.Get(now, p.Key())
	if known && f.state >= asked {
		f.entry = entry
		g.add(Action{Verb: Deliver, Key: p.Key()})
		return
	}
	if r := g.refusal(now, c); r != 0 {
		g.giveBack(p.Key(), entry, r)
		return
	}
	g.cold.spend(now)
	g.answers.sent(now)
	f = &flow{entry: entry, state: asked, expected: p.Ack}
	g.work.offer(now, f)
	g.flows.Put(now, p.Key(), f)
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// refusal returns why the upstream can't take a new flow, or 0.
func (g *Guard) refusal(now time.Time, c Header) Reason {
	switch {
	case g.ended && !g.answers.probe(now):
		return Exited
	case g.leaving:
		return Leaving
	case !g.standing.AcceptsNew:
		return Draining
	case g.isCold(now) && !g.cold.allows(now, int(g.standing.ColdFlowsPerSecond)):
		return Cold
	case g.answers.silent(now) && !g.answers.probe(now):
		return Silent
	case g.work.n >= int(g.standing.Slots)*depth(c):
		return Busy
	}
	return 0
}

// depth returns how many requests for each slot the upstream may have for the flow to
// be let in.
func depth(c Header) int {
	switch {
	case c.Forced && c.Urgent:
		return urgentDepth
	case c.Forced:
		return forcedDepth
	}
	return 1
}

// isCold reports whether the cold bound holds: as the agent was told, or since it has
// seen a start that it was not told of.
func (g *Guard) isCold(now time.Time) bool {
	till := g.coldTill
	if r := g.restart; !r.at.IsZero() && r.at.Add(g.standing.ColdFor).After(till) {
		till = r.at.Add(g.standing.ColdFor)
	}
	return g.standing.ColdFlowsPerSecond > 0 && now.Before(till)
}

// carry decides on a packet in the middle of a flow.
func (g *Guard) carry(now time.Time, entry gdflow.Address, c Header, p gdflow.Packet) {
	f, known := g.flows.Get(now, p.Key())
	if !known && !g.ended && !g.sure(now) {
		f = &flow{state: unknown}
		g.flows.Put(now, p.Key(), f)
	}
	if f == nil || !f.takes(p) {
		g.giveBack(p.Key(), entry, NotHeld)
		return
	}
	if f.state == half {
		f.state = open
	}
	f.entry, f.expected = entry, p.Ack
	if c.Confirm {
		g.confirm(now, p.Key(), f)
	}
	if p.Size > 0 {
		g.work.begin(now, f)
	}
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// confirm tells the entry host that the flow is held, or will do so when the upstream
// has shown it.
func (g *Guard) confirm(now time.Time, k gdflow.Key, f *flow) {
	switch {
	case f.state == open:
		g.add(Action{Verb: ReportHeld, Key: k, Entry: f.entry})
	case f.state == unknown && !f.confirm:
		f.confirm = true
		g.tried = append(g.tried, triedFlow{key: k, f: f, at: now})
	}
}

// settleTried takes the flows for held whose packets the upstream has not returned.
func (g *Guard) settleTried(now time.Time) {
	i := 0
	for ; i < len(g.tried) && now.Sub(g.tried[i].at) >= returnTime; i++ {
		if t := g.tried[i]; t.f.state == unknown {
			t.f.state, t.f.confirm = open, false
			g.add(Action{Verb: ReportHeld, Key: t.key, Entry: t.f.entry})
		}
	}
	g.tried = slices.Delete(g.tried, 0, i)
}

// takes reports whether the upstream holds the flow of the packet, or may hold it.
func (f *flow) takes(p gdflow.Packet) bool {
	switch f.state {
	case absent, asked:
		return false
	case half:
		return f.confirms(p)
	}
	return true
}

// confirms reports whether the caller's packet answers this upstream's
// acceptance, and not that of another one which took a copy.
func (f *flow) confirms(p gdflow.Packet) bool {
	const longestAnswer = 1 << 20 // bytes of an answer before the first acknowledgement seen
	return p.Ack-f.accepted <= longestAnswer
}

// HandleUpstreamPacket decides on a packet that the upstream has sent.
func (g *Guard) HandleUpstreamPacket(now time.Time, p gdflow.Packet) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleTried(now)
	switch {
	case g.ended:
		g.restarted(now, g.endedAt)
	case g.answers.silent(now):
		g.restarted(now, g.answers.since)
	}
	g.ended, g.heard = false, now
	g.answers.received()
	f, known := g.flows.Get(now, p.Key())
	if p.Returned {
		if f != nil && f.state == open && f.working {
			g.restarted(now, f.since) // it has lost a flow that it was at work for
		}
		g.returned(now, f, p)
		return g.actions
	}
	if !known {
		f = &flow{state: open}
		g.flows.Put(now, p.Key(), f)
	}
	g.answered(now, f, p)
	g.add(Action{Verb: SendToCaller, Key: p.Key()})
	return g.actions
}

// answered follows the state of a flow by what the upstream sends on it.
func (g *Guard) answered(now time.Time, f *flow, p gdflow.Packet) {
	switch {
	case p.Kind == gdflow.Accept && f.state <= half:
		f.state, f.accepted = half, p.Seq
		g.add(Action{Verb: ReportAccepted, Key: p.Key(), Entry: f.entry})
	case f.state == unknown || f.state == absent:
		f.state = open
		if f.confirm {
			f.confirm = false
			g.add(Action{Verb: ReportHeld, Key: p.Key(), Entry: f.entry})
		}
	}
	g.timeAnswer(now, f, p)
	if p.Size > 0 || p.Kind == gdflow.Reset || p.Kind == gdflow.Finish {
		g.work.end(f)
	}
}

// timeAnswer tells how long a request took until the first bytes of its answer.
func (g *Guard) timeAnswer(now time.Time, f *flow, p gdflow.Packet) {
	if g.OnAnswer != nil && p.Size > 0 && f.working && !f.offered {
		g.OnAnswer(now.Sub(f.since))
	}
}

// returned handles a packet that the upstream did not accept.
func (g *Guard) returned(now time.Time, f *flow, p gdflow.Packet) {
	if f == nil {
		g.add(Action{Verb: Drop, Key: p.Key()})
		return
	}
	entry := f.entry
	g.work.end(f)
	if p.Opens() {
		g.flows.Delete(p.Key())
		g.giveBack(p.Key(), entry, Full)
		return
	}
	f.state = absent
	g.flows.Put(now, p.Key(), f)
	g.giveBack(p.Key(), entry, NotHeld)
}

// ShouldProbe reports whether the agent is to look if the upstream's process is there: it
// has work and has said nothing for a while.
func (g *Guard) ShouldProbe(now time.Time) bool {
	if g.ended || g.work.n == 0 || now.Sub(g.heard) < doubtTime || now.Sub(g.doubted) < doubtInterval {
		return false
	}
	if oldest, ok := g.work.oldest(); !ok || now.Sub(oldest) < doubtTime {
		return false
	}
	g.doubted = now
	return true
}

// HandleUpstreamExit is called when the upstream's process is known to be gone. All
// its flows are ended, so that the callers come back at once.
func (g *Guard) HandleUpstreamExit(now time.Time) []Action {
	g.init(now)
	if g.ended {
		return nil
	}
	g.ended, g.ObservedFromStart = true, true
	g.endedAt, g.endedBorn = now, g.standing.StartUnixMilli
	g.flows.Each(func(k gdflow.Key, f *flow) bool {
		if f.state == open || f.state == half {
			g.add(Action{Verb: Reset, Key: k, Seq: f.expected})
		}
		return true
	})
	g.flows.Clear()
	g.work = workload{}
	return g.actions
}
