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
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// flowTTL is the minimum time for which an idle flow is cached: the longest idle
	// timeout in the users' settings. The cache's second generation doubles it.
	flowTTL = 15 * time.Second
	// maxFlows limits one generation of the flow cache: the connections of one
	// upstream in the users' settings, plus some for flows that have ended.
	maxFlows = 8192
	// maxStartSkew is the maximum difference between the start times of an agent and
	// its upstream if both were started together. No platform restarts a process that
	// fast, so no earlier agent can have accepted a flow.
	maxStartSkew = 100 * time.Millisecond
	// maxFlowDuration is the maximum duration of a flow in the users' settings. An
	// agent that has run for longer has observed every flow that its upstream can
	// hold.
	maxFlowDuration = 60 * time.Second
	// answerTimeout is the time an upstream has to answer a request for a flow.
	// Upstreams answer within a millisecond; the rest is a margin for a slow host.
	answerTimeout = 60 * time.Millisecond
	// silentAfter is the number of consecutive unanswered requests for flows after
	// which the upstream counts as silent. Two could just be lost.
	silentAfter = 3
	// forcedDepth and urgentDepth limit the load per slot of an upstream that accepts
	// a flow although no upstream has a free slot. At these limits the last request
	// waits for two or three times its processing time, which the users' latency
	// objectives permit.
	forcedDepth = 3
	urgentDepth = 4
	// flowProbeInterval is the interval at which a silent upstream gets a request for
	// a flow.
	flowProbeInterval = 200 * time.Millisecond
	// returnTimeout is how long an upstream takes at most to return a packet of a flow
	// that it does not hold. It does so at once and on the same host.
	returnTimeout = 5 * time.Millisecond
	// portProbeDelay is how long an upstream with requests in progress sends nothing
	// before the agent probes its port: longer than nearly all requests take.
	portProbeDelay = 150 * time.Millisecond
	// portProbeInterval is the minimum interval between two such probes.
	portProbeInterval = 500 * time.Millisecond
)

// Header is sent by an entry host with each packet to an agent, and in messages
// without a packet.
type Header struct {
	// Service is the hash of the name of the service that the flow is for.
	Service uint32
	// Status is set with packets that open a flow.
	Status UpstreamStatus
	// Forced reports that no upstream with a free slot was found, and Urgent that the
	// flow is for requests of the first priorities.
	Forced, Urgent bool
	// Confirm requests a report if the upstream holds the flow.
	Confirm bool
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
	entry       gdflow.Address
	state       state
	reportHeld  bool
	processing  bool
	offered     bool      // it counts as load, and its request has not arrived
	requestAt   time.Time // when the current request was delivered
	acceptSeq   uint32    // the sequence number of the upstream's acceptance
	expectedSeq uint32    // the next sequence number that the caller expects
	callerEnd   uint32    // the sequence number after the last byte that the caller has sent
	hasData     bool      // the caller has sent data, so that callerEnd is set
}

// probedFlow is an unknown flow of which a packet was delivered to the upstream.
type probedFlow struct {
	key gdflow.Key
	f   *flow
	at  time.Time
}

// Guard is the packet filter of an agent. Its exported fields must be set before the
// first call.
type Guard struct {
	// Service is the name of the upstream's service.
	Service string
	// ObservedFromStart reports that the agent has run since before the upstream's
	// start, so that it has observed all of the upstream's flows.
	ObservedFromStart bool
	// AgentStarted is the start time of the agent's process. The wall clock may be
	// wrong.
	AgentStarted time.Time
	// OnAnswer, if set, is called with the time from the delivery of a request to the
	// first bytes of its answer.
	OnAnswer func(took time.Duration)

	observingSince time.Time
	status         UpstreamStatus
	coldUntil      time.Time
	restart        restart
	flows          gdcache.Cache[gdflow.Key, *flow]
	work           workload
	cold           budget
	probed         []probedFlow
	answers        answers
	leaving        bool
	exited         bool
	// exitedAt is when the upstream's process was found to be gone, and exitedStart the
	// start time of that process.
	exitedAt      time.Time
	exitedStart   int64
	lastReceived  time.Time // the last packet of the upstream
	lastPortProbe time.Time
	actions       []Action
}

func (g *Guard) init(now time.Time) {
	if g.observingSince.IsZero() {
		g.observingSince = now
		g.flows = gdcache.Cache[gdflow.Key, *flow]{MinTTL: flowTTL, MaxPerGeneration: maxFlows, OnEvict: g.evicted}
	}
	g.actions = g.actions[:0]
}

func (g *Guard) evicted(_ gdflow.Key, f *flow) { g.work.end(f) }

// Load returns how many requests the upstream is processing or has queued.
func (g *Guard) Load() int { return g.work.n }

// Flows returns the number of cached flows.
func (g *Guard) Flows() int { return g.flows.Len() }

// Revision returns the highest revision that an entry host has reported.
func (g *Guard) Revision() uint64 { return g.status.Revision }

// Status returns the latest status of the upstream.
func (g *Guard) Status() UpstreamStatus { return g.status }

// Leave makes the guard refuse new flows because the agent is shutting down.
func (g *Guard) Leave() { g.leaving = true }

func (g *Guard) serves(h Header) bool { return h.Service == gddiscovery.ServiceHash(g.Service) }

// knowsAllFlows reports whether the upstream can't hold a flow that the guard does not
// know.
func (g *Guard) knowsAllFlows(now time.Time) bool {
	return g.ObservedFromStart || now.Sub(g.observingSince) > maxFlowDuration
}

// UpdateStatus updates the status of the upstream, unless a newer one is known or it
// is that of another service that used this host's address before. It reports whether
// AcceptsNew has changed or the status is the first one.
func (g *Guard) UpdateStatus(now time.Time, h Header) bool {
	s := h.Status
	if s.Revision < g.status.Revision || !g.serves(h) {
		return false
	}
	changed := s.AcceptsNew != g.status.AcceptsNew || g.status.Revision == 0
	if s.Revision > g.status.Revision || now.Add(s.ColdLeft).After(g.coldUntil) {
		g.coldUntil = now.Add(s.ColdLeft)
	}
	g.status = s
	if g.restart.matches(s.StartUnixMilli) {
		g.restart = restart{}
	}
	g.ObservedFromStart = g.ObservedFromStart || g.startedTogether(s.StartUnixMilli)
	return changed
}

// restart is a restart of the upstream that the agent has observed and that no entry
// host has reported yet. The zero value means none.
type restart struct {
	observedAt    time.Time // when the agent observed it
	after         time.Time // when the previous process was still running, or was unavailable
	previousStart int64     // when the previous process was started, or 0
}

// matches reports whether the status of an upstream that was started at the time, in
// Unix milliseconds, is that of the new process.
func (r restart) matches(startMilli int64) bool {
	if r.previousStart != 0 {
		return startMilli != r.previousStart
	}
	return startMilli >= r.after.Add(-maxStartSkew).UnixMilli()
}

// noteRestart records that the upstream may have restarted after a time. The entry
// hosts may not know of it yet, so the agent applies the slow start itself.
func (g *Guard) noteRestart(now, after time.Time) {
	r := restart{observedAt: now, after: after, previousStart: g.status.StartUnixMilli}
	if g.exited {
		r.previousStart = g.exitedStart
	}
	if g.restart.observedAt.IsZero() && !r.matches(g.status.StartUnixMilli) {
		g.restart = r
	}
}

// startedTogether reports whether the upstream, which was started at the Unix
// millisecond, was started together with the agent. Both times are from one host's
// clock. If the clock is adjusted between the two starts, they look far apart, except
// for one adjustment in hundreds.
func (g *Guard) startedTogether(startMilli int64) bool {
	return startMilli != 0 && !g.AgentStarted.IsZero() && g.AgentStarted.Sub(time.UnixMilli(startMilli)).Abs() <= maxStartSkew
}

// Holding reports what is known about a flow, for a query without a packet.
func (g *Guard) Holding(now time.Time, service uint32, k gdflow.Key) Holding {
	g.init(now)
	f, known := g.flows.Get(now, k)
	switch {
	case !g.serves(Header{Service: service}) || known && f.state == absent:
		return Absent
	case known && f.state == open:
		return Present
	case !known && (g.exited || g.knowsAllFlows(now)):
		return Absent
	}
	return Unsure
}

// HandleEntryPacket decides on a packet that an entry host has sent.
func (g *Guard) HandleEntryPacket(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) []Action {
	g.init(now)
	g.work.expire(now)
	g.settleProbed(now)
	switch {
	case !g.serves(h):
		g.returnPacket(p.Key(), entry, WrongService)
	case p.Opens():
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

// handleOpen decides on a packet that opens a flow.
func (g *Guard) handleOpen(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) {
	g.UpdateStatus(now, h)
	f, known := g.flows.Get(now, p.Key())
	if known && f.state >= pending {
		f.entry = entry
		g.add(Action{Verb: Deliver, Key: p.Key()})
		return
	}
	if r := g.refusal(now, h); r != 0 {
		g.returnPacket(p.Key(), entry, r)
		return
	}
	g.cold.spend(now)
	g.answers.sent(now)
	f = &flow{entry: entry, state: pending, expectedSeq: p.Ack}
	g.work.offer(now, f)
	g.flows.Put(now, p.Key(), f)
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// refusal returns why the upstream can't accept a new flow, or 0.
func (g *Guard) refusal(now time.Time, h Header) Reason {
	unavailable := g.unavailable(now)
	switch {
	case unavailable != 0 && !g.answers.probe(now):
		return unavailable
	case g.leaving:
		return Leaving
	case !g.status.AcceptsNew:
		return Draining
	case g.isCold(now) && !g.cold.allows(now, int(g.status.ColdFlowsPerSecond)):
		return Cold
	case g.work.n >= int(g.status.Slots)*maxLoadPerSlot(h):
		return Busy
	}
	return 0
}

// unavailable returns why the upstream gets no flows but probes, or 0.
func (g *Guard) unavailable(now time.Time) Reason {
	switch {
	case g.exited:
		return Exited
	case g.answers.silent(now):
		return Silent
	}
	return 0
}

// maxLoadPerSlot returns the load per slot up to which the upstream accepts the flow.
func maxLoadPerSlot(h Header) int {
	switch {
	case h.Forced && h.Urgent:
		return urgentDepth
	case h.Forced:
		return forcedDepth
	}
	return 1
}

// isCold reports whether the upstream is cold: according to its status, or since the
// agent has observed a restart that was not reported to it.
func (g *Guard) isCold(now time.Time) bool {
	until := g.coldUntil
	if r := g.restart; !r.observedAt.IsZero() && r.observedAt.Add(g.status.ColdFor).After(until) {
		until = r.observedAt.Add(g.status.ColdFor)
	}
	return g.status.ColdFlowsPerSecond > 0 && now.Before(until)
}

// handleData decides on a packet in the middle of a flow.
func (g *Guard) handleData(now time.Time, entry gdflow.Address, h Header, p gdflow.Packet) {
	f, known := g.flows.Get(now, p.Key())
	if !known && !g.exited && !g.knowsAllFlows(now) {
		f = &flow{state: unknown}
		g.flows.Put(now, p.Key(), f)
	}
	if f == nil || !f.mayHold(p) {
		g.returnPacket(p.Key(), entry, NotHeld)
		return
	}
	if f.state == halfOpen {
		f.state = open
	}
	f.entry, f.expectedSeq = entry, p.Ack
	if h.Confirm {
		g.reportHolding(now, p.Key(), f)
	}
	if f.extends(p) {
		g.work.begin(now, f)
	}
	g.add(Action{Verb: Deliver, Key: p.Key()})
}

// extends reports whether the caller's packet has data beyond all that was delivered
// before, and records its end. A retransmission that arrives after the answer is no
// request.
func (f *flow) extends(p gdflow.Packet) bool {
	end := p.Seq + uint32(p.Size)
	if p.Size == 0 || f.hasData && int32(end-f.callerEnd) <= 0 {
		return false
	}
	f.callerEnd, f.hasData = end, true
	return true
}

// reportHolding reports to the entry host that the upstream holds the flow: at once if
// the guard knows it, otherwise when the upstream has sent a packet of the flow or has
// not returned the delivered one in time.
func (g *Guard) reportHolding(now time.Time, k gdflow.Key, f *flow) {
	switch {
	case f.state == open:
		g.add(Action{Verb: ReportHeld, Key: k, Entry: f.entry})
	case f.state == unknown && !f.reportHeld:
		f.reportHeld = true
		g.probed = append(g.probed, probedFlow{key: k, f: f, at: now})
	}
}

// settleProbed marks the probed flows whose packets the upstream did not return as held.
func (g *Guard) settleProbed(now time.Time) {
	i := 0
	for ; i < len(g.probed) && now.Sub(g.probed[i].at) >= returnTimeout; i++ {
		if t := g.probed[i]; t.f.state == unknown {
			t.f.state, t.f.reportHeld = open, false
			g.add(Action{Verb: ReportHeld, Key: t.key, Entry: t.f.entry})
		}
	}
	g.probed = slices.Delete(g.probed, 0, i)
}

// mayHold reports whether the upstream holds the flow of the packet, or may hold it.
func (f *flow) mayHold(p gdflow.Packet) bool {
	switch f.state {
	case absent, pending:
		return false
	case halfOpen:
		return f.confirms(p)
	}
	return true
}

// confirms reports whether the caller's packet acknowledges this upstream's
// acceptance, and not that of another upstream which accepted a copy.
func (f *flow) confirms(p gdflow.Packet) bool {
	const maxFirstAnswer = 1 << 20 // bytes of an answer before the first observed acknowledgement
	return p.Ack-f.acceptSeq <= maxFirstAnswer
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
		if f != nil && f.state == open && f.processing {
			g.noteRestart(now, f.requestAt) // it lost a flow on which it was processing a request
		}
		g.handleReturned(now, f, p)
		return g.actions
	}
	if !known {
		f = &flow{state: open}
		g.flows.Put(now, p.Key(), f)
	}
	g.trackAnswer(now, f, p)
	g.add(Action{Verb: SendToCaller, Key: p.Key()})
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
	g.reportLatency(now, f, p)
	if p.Size > 0 || p.Kind == gdflow.Reset || p.Kind == gdflow.Finish {
		g.work.end(f)
	}
}

// reportLatency reports the time from a request to the first bytes of its answer.
func (g *Guard) reportLatency(now time.Time, f *flow, p gdflow.Packet) {
	if g.OnAnswer != nil && p.Size > 0 && f.processing && !f.offered {
		g.OnAnswer(now.Sub(f.requestAt))
	}
}

// handleReturned handles a packet that the upstream did not accept.
func (g *Guard) handleReturned(now time.Time, f *flow, p gdflow.Packet) {
	if f == nil {
		g.add(Action{Verb: Drop, Key: p.Key()})
		return
	}
	entry := f.entry
	g.work.end(f)
	if p.Opens() {
		g.flows.Delete(p.Key())
		g.returnPacket(p.Key(), entry, Full)
		return
	}
	f.state = absent
	g.flows.Put(now, p.Key(), f)
	g.returnPacket(p.Key(), entry, NotHeld)
}

// ShouldProbe reports whether the agent should probe the upstream's port: it has
// requests in progress and has sent nothing for a while.
func (g *Guard) ShouldProbe(now time.Time) bool {
	if g.exited || g.work.n == 0 || now.Sub(g.lastReceived) < portProbeDelay || now.Sub(g.lastPortProbe) < portProbeInterval {
		return false
	}
	if oldest, ok := g.work.oldest(); !ok || now.Sub(oldest) < portProbeDelay {
		return false
	}
	g.lastPortProbe = now
	return true
}

// HandleUpstreamExit handles the exit of the upstream's process. It resets all of its
// flows, so that the callers can retry at once.
func (g *Guard) HandleUpstreamExit(now time.Time) []Action {
	g.init(now)
	if g.exited {
		return nil
	}
	g.exited, g.ObservedFromStart = true, true
	g.exitedAt, g.exitedStart = now, g.status.StartUnixMilli
	g.flows.Each(func(k gdflow.Key, f *flow) bool {
		if f.state == open || f.state == halfOpen {
			g.add(Action{Verb: Reset, Key: k, Seq: f.expectedSeq})
		}
		return true
	})
	g.flows.Clear()
	g.work = workload{}
	return g.actions
}
