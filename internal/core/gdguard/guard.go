// Package gdguard is the packet filter of an agent: it decides which packets are
// delivered to the upstream.
//
// The agent observes all packets from and to its upstream, so it knows exactly which
// flows the upstream holds, how many requests it is processing, and whether it
// responds. Entry hosts may act on outdated views or without one; the guard makes the
// final check.
//
// # Usage
//
//	g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
//	for _, a := range g.HandleEntryPacket(now, entry, header, packet) {
//		...
//	}
//	for _, a := range g.HandleUpstreamPacket(now, packet) {
//		...
//	}
//
// Actions are valid until the next call. A Guard is not safe for concurrent use.
package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdbacklog"
	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdshare"
)

const (
	// closedTTL is the minimum time for which a flow is remembered that the upstream does not
	// hold, or no longer: several retransmissions.
	closedTTL = 15 * time.Second
	// restoreGrace is how long an upstream that accepted no new flows still refuses them
	// when the source of the status was restored from a copy: the time that the users'
	// requirements give a running upstream to register again. It is also how long after the
	// agent's start the registration of an upstream may come that was started before.
	restoreGrace = 2 * time.Second
	// maxFlows limits one generation of the flow cache, and the open flows that it keeps: the
	// connections of one upstream in the users' settings, plus some for flows that have ended.
	maxFlows = 8192
)

// Header is sent by an entry host with each packet to an agent, and in messages
// without a packet.
type Header struct {
	// Service is the hash of the name of the service that the flow is for.
	Service uint32
	// Status, Class and Origin are set with packets that open a flow. Origin is a hash of the
	// failure domain of the entry host, which is that of its callers, or 0 if it is unknown.
	Status UpstreamStatus
	Class  RouteClass
	Origin uint16
	// Forced reports that no upstream with a free slot was found, and Urgent that the
	// flow is for requests of the first priorities.
	Forced, Urgent bool
	// Confirm requests a report if the upstream holds the flow.
	Confirm bool
	// Exact reports that the entry host knows FlowClosed, Closed and HoldingWrongService. Older builds don't.
	Exact bool
}

// state is the state of a flow at the agent.
type state uint8

const (
	// unknown: a packet was delivered to find out whether the upstream returns it.
	unknown state = iota
	// absent: the upstream returned a packet of the flow.
	absent
	// pending: the upstream has not answered the request for the flow yet.
	pending
	// halfOpen: the upstream accepted the flow, and the caller has not confirmed it yet.
	halfOpen
	// open: the upstream holds the flow.
	open
)

type flow struct {
	entry          gdflow.Address
	opening        gdflow.Opening
	state          state
	reportHeld     bool
	processing     bool
	offered        bool      // it counts as load, and its request has not arrived
	requestAt      time.Time // when the current request was delivered
	acceptSeq      uint32    // the sequence number of the upstream's acceptance
	expectedSeq    uint32    // the next sequence number that the caller expects
	callerEnd      uint32    // the sequence number after the last byte that the caller has sent
	hasData        bool      // the caller has sent data, so that callerEnd is set
	usedAt         time.Time // when the last packet was observed
	exact          bool      // Header.Exact of the entry host
	finished       bool      // the upstream has ended it
	callerFinished bool      // the caller has ended it
	closed         bool      // both ends have ended it, or one has reset it
	wasIdle        bool      // the upstream may have dropped it
	observed       bool      // the agent has seen the flow since its start
	answered       bool      // the upstream has answered a request, so that answerSeq is set
	answerSeq      uint32    // the first sequence number of the latest answer
	level          uint8     // that of the current request
	origin         uint16    // Header.Origin of the packet that opened the flow
	kept           *keptRequest
	earlier        earlierData // what was delivered before the kept request
}

// Guard is the packet filter of an agent. Its exported fields must be set before the
// first call.
type Guard struct {
	// Service is the name of the upstream's service.
	Service string
	// ObservedFromStart reports that the agent has run since before the upstream's
	// start, so that it has observed all of the upstream's flows.
	ObservedFromStart bool
	// MaxFlowAge is the age that a flow reaches at most, or 0 for gddiscovery.DefaultMaxFlowAge.
	MaxFlowAge time.Duration
	// Heartbeat is the interval at which the upstream registers, or 0 if it is unknown.
	Heartbeat time.Duration
	// AgentStarted is the start time of the agent's process. The wall clock may be
	// wrong.
	AgentStarted time.Time
	// OnAnswer, if set, is called with the time from the delivery of a request to the
	// first bytes of its answer.
	OnAnswer func(took time.Duration)
	// OnRelease, if set, is called with each request that is no longer kept back, and with
	// each that is delivered at once because too much is kept.
	OnRelease func(now time.Time, r Release)
	// OnEarlyAnswers, if set, is called when the upstream becomes suspected of failing requests,
	// because many answers come much sooner than usual. It gets new flows then only if all
	// upstreams that were asked are busy.
	OnEarlyAnswers func(now time.Time)

	observingSince time.Time
	forgotAt       time.Time // when a flow that may be open was last forgotten, or zero
	status         UpstreamStatus
	coldUntil      time.Time
	refusesUntil   time.Time // the upstream may accept no new flows although its status says so
	restart        restart
	copied         copiedStatus
	freshness      freshness
	inherited      int // flows of the upstream that this agent has not let in
	flows          gdcache.Cache[gdflow.Key, *flow]
	work           workload
	backlog        gdbacklog.Backlog[waiting]
	classes        classes
	usage          gdshare.Usage
	refused        int64 // requests that the upstream has rejected
	cold           budget
	probed         []probedFlow
	answers        answers
	leaving        bool
	exited         bool
	// starts are the latest start times of the upstream's processes.
	starts []int64
	// exitedAt is when the upstream's process was found to be gone, and exitedStarts the
	// start times that were known then.
	exitedAt      time.Time
	exitedStarts  []int64
	lastReceived  time.Time // the last packet of the upstream
	lastPortProbe time.Time
	actions       []Action
}

func (g *Guard) init(now time.Time) {
	if g.observingSince.IsZero() {
		g.observingSince = now
		g.flows = gdcache.Cache[gdflow.Key, *flow]{
			MinTTL: closedTTL, MaxPerGeneration: maxFlows, Keep: g.mayBeOpen, OnEvict: g.evicted,
		}
		g.backlog = gdbacklog.Backlog[waiting]{MaxPackets: maxKeptPackets, MaxBytes: maxKeptBytes}
	}
	g.actions = g.actions[:0]
}

func (g *Guard) evicted(now time.Time, _ gdflow.Key, f *flow) {
	if g.mayBeOpen(now, f) {
		g.forgotAt = now
	}
	if f.kept != nil {
		g.backlog.Expedite(f.kept)
		return
	}
	g.work.end(f)
}

// Load returns how many requests the upstream is processing or has queued, and how many
// are kept back.
func (g *Guard) Load() int { return g.work.n }

// Flows returns the number of cached flows.
func (g *Guard) Flows() int { return g.flows.Len() }

// Revision returns the highest revision that an entry host has reported.
func (g *Guard) Revision() gddiscovery.Revision { return g.status.Revision }

// Status returns the latest status of the upstream.
func (g *Guard) Status() UpstreamStatus { return g.status }

// Leave makes the guard refuse new flows and keep back no requests, because the agent is
// shutting down. The next Tick releases those that are kept.
func (g *Guard) Leave() { g.leaving = true }

func (g *Guard) serves(h Header) bool { return h.Service == gddiscovery.ServiceHash(g.Service) }

// UpdateStatus updates the status of the upstream, unless a newer one is known or it
// is that of another service that used this host's address before. It reports whether
// AcceptsNew has changed or the status is the first one.
func (g *Guard) UpdateStatus(now time.Time, h Header) bool {
	s := h.Status
	if s.Revision < g.status.Revision || !g.serves(h) {
		return false
	}
	changed := s.AcceptsNew != g.status.AcceptsNew || g.status.Revision == 0
	g.carryOver(now, s)
	g.noteEra(now, s)
	g.noteViewAge(now, s)
	g.status = s
	g.noteStart(s.StartUnixMilli)
	if g.restart.matches(s.StartUnixMilli) {
		g.restart = restart{}
	}
	g.ObservedFromStart = g.ObservedFromStart || g.startedTogether(s.StartUnixMilli)
	return changed
}

// carryOver updates until when the upstream is cold or refuses new flows. A status of a later era may come from
// a copy that was made before the upstream drained or became cold, so that it neither ends
// the slow start nor, for restoreGrace, lets in new flows.
func (g *Guard) carryOver(now time.Time, s UpstreamStatus) {
	restored := g.status.Revision != 0 && s.Revision.Era() > g.status.Revision.Era()
	if restored && !g.status.AcceptsNew && s.StartUnixMilli == g.status.StartUnixMilli {
		g.refusesUntil = now.Add(restoreGrace)
	}
	if s.Revision > g.status.Revision && !restored || now.Add(s.ColdLeft).After(g.coldUntil) {
		g.coldUntil = now.Add(s.ColdLeft)
	}
}

// HandleEntryPacket decides on a packet that an entry host has sent.
func (g *Guard) HandleEntryPacket(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleProbed(now)
	g.releaseKept(now)
	switch {
	case !g.serves(h):
		g.returnPacket(p.Key(), entry, WrongService)
	case p.Opens():
		g.classes.note(now, p.Key().Service(), h.Class)
		g.handleOpen(now, entry, h, p)
	default:
		g.handleData(now, entry, h, p)
	}
	return g.actions
}

func (g *Guard) returnPacket(k gdflow.Key, entry gdflow.Address, r Reason) {
	g.add(Action{Verb: Return, Key: k, Entry: entry, Reason: r})
}

func (g *Guard) add(a Action) { g.actions = append(g.actions, a) }

// handleData decides on a packet in the middle of a flow.
func (g *Guard) handleData(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) {
	f, known := g.flows.Get(now, p.Key())
	if !known && !g.exited && !g.knowsAllFlows(now) {
		f = &flow{state: unknown}
		g.flows.Put(now, p.Key(), f)
	}
	if f == nil || !f.mayHold(p) {
		g.returnPacket(p.Key(), entry, notHeld(h.Exact))
		return
	}
	if f.state == halfOpen {
		f.state, f.observed = open, true
	}
	f.entry, f.exact, f.expectedSeq = entry, h.Exact, p.Ack
	f.used(now, p)
	if h.Confirm {
		g.reportHolding(now, p.Key(), f)
	}
	if f.kept != nil {
		g.handleBehind(now, f, p)
		return
	}
	earlier := earlierData{end: f.callerEnd, any: f.hasData}
	if f.extends(p) && g.begin(now, f, p, earlier) {
		return
	}
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// HandleUpstreamPacket decides on a packet that the upstream has sent.
func (g *Guard) HandleUpstreamPacket(now time.Time, p gdflow.Packet) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleProbed(now)
	switch {
	case g.exited:
		g.noteRestart(now, g.exitedAt)
	case g.answers.silent(now):
		g.noteRestart(now, g.answers.since)
	}
	g.exited, g.lastReceived = false, now
	g.answers.received()
	f, known := g.flows.Get(now, p.Key())
	if p.Returned {
		if f != nil && f.state == open && f.processing && f.kept == nil && !f.finished && !f.wasIdle {
			g.noteRestart(now, f.requestAt) // it lost a flow on which it was processing a request
		}
		g.handleReturned(now, f, p)
		g.endKept(now, f, p)
		g.releaseKept(now)
		return g.actions
	}
	g.noteInherited(known, f, p)
	if !known {
		f = &flow{state: open}
		g.flows.Put(now, p.Key(), f)
	}
	g.trackAnswer(now, f, p)
	g.add(Action{Verb: SendToCaller, Key: p.Key()})
	g.endKept(now, f, p)
	g.releaseKept(now)
	return g.actions
}

// trackAnswer updates the state of a flow from a packet of the upstream.
func (g *Guard) trackAnswer(now time.Time, f *flow, p gdflow.Packet) {
	switch {
	case p.Kind == gdflow.Accept && f.state <= halfOpen:
		f.state, f.acceptSeq = halfOpen, p.Seq
		g.add(Action{Verb: ReportAccepted, Key: p.Key(), Entry: f.entry})
	case f.state == unknown || f.state == absent:
		f.state = open
		if f.reportHeld {
			f.reportHeld = false
			g.add(Action{Verb: ReportHeld, Key: p.Key(), Entry: f.entry})
		}
	}
	f.noteReply(now, p)
	if f.kept != nil {
		return // what the upstream sends belongs to an earlier request
	}
	g.reportLatency(now, f, p)
	switch {
	case p.Size > 0:
		g.noteAnswered(now, f)
	case p.Kind == gdflow.Reset || p.Kind == gdflow.Finish:
		g.work.end(f)
	}
}

// noteAnswered counts a request as done because its answer begins.
func (g *Guard) noteAnswered(now time.Time, f *flow) {
	early := g.work.wait.AnswersEarly(now)
	if g.work.answered(now, f) {
		g.refused++
	}
	if !early && g.OnEarlyAnswers != nil && g.work.wait.AnswersEarly(now) {
		g.OnEarlyAnswers(now)
	}
}

// reportLatency reports the time from a request to the first bytes of its answer.
func (g *Guard) reportLatency(now time.Time, f *flow, p gdflow.Packet) {
	if p.Size == 0 || !f.processing || f.offered {
		return
	}
	f.answered, f.answerSeq = true, p.Seq
	if g.OnAnswer != nil {
		g.OnAnswer(now.Sub(f.requestAt))
	}
}

// handleReturned handles a packet that the upstream did not accept.
func (g *Guard) handleReturned(now time.Time, f *flow, p gdflow.Packet) {
	if f == nil {
		g.add(Action{Verb: Drop, Key: p.Key()})
		return
	}
	entry, exact := f.entry, f.exact
	if f.kept == nil {
		g.work.end(f)
	}
	if p.Opens() {
		g.flows.Delete(p.Key())
		g.returnPacket(p.Key(), entry, Full)
		return
	}
	f.state = absent
	g.flows.Put(now, p.Key(), f)
	g.returnPacket(p.Key(), entry, notHeld(exact))
}
