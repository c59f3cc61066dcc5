// Package gddispatch decides at an entry host to which upstream a packet is sent.
//
// The upstreams of a flow are ranked by rendezvous hashing, identically on all
// entry hosts. A packet that opens a flow is offered to the first upstream in the
// ranking that accepts new flows; if the upstream is busy, its agent returns the
// packet, and the next one is tried. A packet of a flow that this host does not
// know is sent along the same ranking until it reaches the agent whose upstream
// holds the flow. The result of the lookup is cached.
//
// # Usage
//
//	d := &gddispatch.Dispatcher{}
//	d.SetView(now, view)
//	for _, a := range d.HandleCallerPacket(now, packet, datagram) {
//		...
//	}
//
// Answers of agents are passed to HandleReturned, HandleAccepted, HandleHeld and
// HandleHoldings. Tick must be called at NextTick or later. Actions are valid until
// the next call. A Dispatcher is not safe for concurrent use.
package gddispatch

import (
	"cmp"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

const (
	// flowTTL is the minimum time for which an unused flow is cached; it is looked up again
	// afterwards. The cache's second generation doubles it.
	flowTTL = 15 * time.Second
	// maxFlows limits one generation of the flow cache, to a few megabytes.
	maxFlows = 1 << 15
	// maxBufferedPackets limits the packets buffered for another attempt: 1.3 kB
	// each, 1.3 MB in all.
	maxBufferedPackets = 1024
	// answerTimeout is the time an agent has to answer: several round trips between
	// failure domains and the processing on a slow host.
	answerTimeout = 30 * time.Millisecond
	// probeShare is the share of the link that may be used for packets to agents that can't
	// answer a query without one, and probeBurst for how long it may be exceeded.
	probeShare = 0.25
	probeBurst = 200 * time.Millisecond
	// defaultLink is assumed as the bandwidth of a link that is not known, and is the most
	// that counts of one that is, in bytes per second: 100 Mbit/s.
	defaultLink = 12.5e6
	// batchDelay is how long queries are delayed to be batched with others to the
	// same agents. It is short compared to 100 ms, the lowest latency objective in the
	// users' settings.
	batchDelay = 15 * time.Millisecond
	// maxPending is how many packets of a flow are queued until its lookup ends: the
	// number of packets that one end of a flow has in flight on the users' platform.
	maxPending = 16
	// earlyTTL is how long a packet is queued until the first view is set. Callers
	// retransmit after 200 ms, and older packets would all be released at the same
	// time after a power loss. maxEarly limits them, to 0.3 MB.
	earlyTTL = 150 * time.Millisecond
	maxEarly = 256
	// firstViewWait is how long after its start a host without a view expects to get one: a
	// load takes a fraction of it, also from a slow source. After that new flows are refused.
	firstViewWait = 300 * time.Millisecond
)

// Dispatcher decides at an entry host to which upstream each packet is sent. Its
// exported fields must be set before the first call.
type Dispatcher struct {
	// LinkBytesPerSecond is the bandwidth of the host's link, or 0 if it is unknown.
	LinkBytesPerSecond float64
	// Domain is the failure domain of the host, which is that of its callers.
	Domain string
	// StartedAt is when the host started, or the zero time if it waits for its first view
	// without a limit.
	StartedAt time.Time
	// OnSuspect, if set, is called when a host has stopped responding and when it
	// responds again.
	OnSuspect func(host gdflow.Address, suspect bool)
	// OnUnreachable, if set, is called when a host was found to be unreachable.
	OnUnreachable func(host gdflow.Address)
	// OnResolved, if set, is called when the upstream of a flow is found, with the
	// duration of the lookup or of the offers.
	OnResolved func(took time.Duration)

	view           *gddiscovery.View
	confirmed      time.Time
	settledAt      time.Time            // until then the view may lack running upstreams
	newestRevision gddiscovery.Revision // the highest revision that an agent has reported
	flows          gdcache.Cache[gdflow.Key, *flow]
	hosts          hosts
	near           proximity
	waits          waits
	timers         []timer
	broadcasts     bucket
	probes         bucket
	queries        queryBatches
	early          []earlyPacket // packets that arrived before the first view
	verified       time.Time     // the view has all that the source had then
	unrouted       []earlyPacket // packets without a route that wait until the view is verified
	unroutedDue    time.Time     // the zero time if there are none
	awaiting       []gdflow.Key  // the flows whose lookups wait until the view is verified
	cutOff         bool
	pingAt         time.Time // the zero time unless cut off
	lookups        int
	actions        []Action
}

// earlyPacket is a packet that waits for the first view, or until the view is verified.
type earlyPacket struct {
	received time.Time
	packet   gdflow.Packet
	raw      []byte
}

// timer is the time at which a lookup continues without an answer.
type timer struct {
	key gdflow.Key
	at  time.Time
}

// SetView replaces the view. It returns status messages for the agents of upstreams
// that start or stop accepting new flows, or that have restarted: another entry host
// may not know of the change yet, and the agent makes the final check. The first view
// also releases the packets that were queued for it.
func (d *Dispatcher) SetView(now time.Time, v *gddiscovery.View) []Action {
	d.init()
	before := make(map[gdflow.Address]announced)
	if d.view != nil {
		for _, m := range d.view.Upstreams() {
			before[m.Address()] = announcedOf(now, m)
		}
	}
	d.view = v
	for _, m := range v.Upstreams() {
		was, known := before[m.Address()]
		p, ok := v.Pool(m.Upstream().Service)
		if ok && known && was != announcedOf(now, m) {
			d.add(Action{Verb: SendStatus, To: m.Address(), Header: d.headerFor(now, p, m)})
		}
	}
	for _, e := range d.early {
		if now.Sub(e.received) <= earlyTTL {
			d.handleCallerPacket(now, e.packet, e.raw)
		}
	}
	d.early = nil
	if !d.unroutedDue.IsZero() {
		d.decideUnrouted(now)
	}
	return d.actions
}

// ConfirmView records that the view was current at the time, and that it may lack running
// upstreams until settledAt, which is the zero time if it lists all.
func (d *Dispatcher) ConfirmView(at, settledAt time.Time) {
	d.confirmed, d.settledAt = at, settledAt
	d.noteVerified(at.Add(-maxConfirmationError))
}

// Flows returns the number of cached flows.
func (d *Dispatcher) Flows() int { return d.flows.Len() }

// Lookups returns the number of lookups and offers in progress.
func (d *Dispatcher) Lookups() int { return d.lookups }

// Suspects returns the number of suspect hosts: those that have stopped responding, and
// those whose agent reported that its upstream is unavailable.
func (d *Dispatcher) Suspects(now time.Time) int { return d.hosts.suspects(now) }

// SilentHosts returns the number of hosts that have stopped responding.
func (d *Dispatcher) SilentHosts() int { return d.hosts.silentCount }

func (d *Dispatcher) init() {
	if d.flows.MinTTL == 0 {
		d.flows = gdcache.Cache[gdflow.Key, *flow]{MinTTL: flowTTL, MaxPerGeneration: maxFlows, OnEvict: d.evicted}
	}
	d.hosts.onChange = d.OnSuspect
	d.actions = d.actions[:0]
}

func (d *Dispatcher) evicted(_ time.Time, _ gdflow.Key, f *flow) { d.endLookup(f) }

func (d *Dispatcher) add(a Action) { d.actions = append(d.actions, a) }

// HandleCallerPacket decides on a caller's packet. Raw is the encoded packet.
func (d *Dispatcher) HandleCallerPacket(now time.Time, p gdflow.Packet, raw []byte) []Action {
	d.init()
	switch {
	case d.view != nil:
		d.handleCallerPacket(now, p, raw)
	case p.Opens() && p.Retransmits() == 0 && !d.StartedAt.IsZero() && now.Sub(d.StartedAt) > firstViewWait:
		// Only this host has seen the first transmission, so that nothing has run.
		d.add(Action{Verb: Reset, Key: p.Key(), Reason: NotReady})
	case len(d.early) < maxEarly:
		d.early = append(d.early, earlyPacket{received: now, packet: p, raw: append([]byte(nil), raw...)})
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
	default:
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: NotReady})
	}
	return d.actions
}

func (d *Dispatcher) handleCallerPacket(now time.Time, p gdflow.Packet, raw []byte) {
	r, ok := d.view.Route(p.Key().Service())
	if !ok {
		d.handleWithoutRoute(now, p, raw)
		return
	}
	f := d.flow(now, p.Key())
	if p.Opens() {
		d.handleOpen(now, r, f, p, raw)
	} else {
		d.handleData(now, r, f, p, raw)
	}
}

// handleWithoutRoute decides on a packet without a route. The view of a host that knows only a
// copy from which the source was restored may lack it; callers send their packets again. A flow
// that may be open is reset only if its route was there before, or once the view is verified: this
// host may be the last to learn of the route.
func (d *Dispatcher) handleWithoutRoute(now time.Time, p gdflow.Packet, raw []byte) {
	_, known := d.flows.Get(now, p.Key())
	first := p.Opens() && p.Retransmits() == 0
	switch {
	case now.Before(d.settledAt):
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: NotReady})
	case first || known && !p.Opens():
		d.forget(now, p.Key())
		d.resetUnlessReset(p, NoRoute)
	case p.Kind == gdflow.Reset:
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: NoRoute})
	default:
		d.holdUnrouted(now, p, raw)
	}
}

// forget deletes the record of a flow, and ends its lookup.
func (d *Dispatcher) forget(now time.Time, k gdflow.Key) {
	if f, known := d.flows.Get(now, k); known {
		d.endLookup(f)
		d.flows.Delete(k)
	}
}

// flow returns the record of a flow and creates it if there is none.
func (d *Dispatcher) flow(now time.Time, k gdflow.Key) *flow {
	f, known := d.flows.Get(now, k)
	if !known {
		f = &flow{}
		d.flows.Put(now, k, f)
	}
	return f
}

// handleData handles a packet in the middle of a flow.
func (d *Dispatcher) handleData(now time.Time, r *gddiscovery.Route, f *flow, p gdflow.Packet, raw []byte) {
	switch f.state {
	case resolved:
		d.handleResolved(now, r, f, p, raw)
	case opening:
		f.lookup.maybeAccepted = true // by another upstream, or the caller would send no data
		if f.lookup.deferred {
			d.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
			return
		}
		d.forward(now, r, f.lookup.last().holder, Action{Key: p.Key(), Packet: raw, Reason: Waiting, Header: gdguard.Header{Confirm: true}})
	case lookingUp:
		f.lookup.enqueue(p, raw)
		d.add(Action{Verb: Drop, Key: p.Key(), Reason: Waiting})
	case gone:
		d.resetUnlessReset(p, FlowGone)
	case notFound:
		if now.Before(f.retryAfter) {
			d.add(Action{Verb: Drop, Key: p.Key(), Reason: NotFound})
			return
		}
		fallthrough
	default:
		d.startLookup(now, f, lookingUp, p, raw)
		d.queryNext(now, r, p.Key(), f)
	}
}

// resetUnlessReset resets the flow at the caller, unless the packet itself is a reset: the
// answer to one could come back to an entry host and go on without end.
func (d *Dispatcher) resetUnlessReset(p gdflow.Packet, reason Reason) {
	a := Action{Verb: Reset, Key: p.Key(), Seq: p.Ack, Reason: reason}
	if p.Kind == gdflow.Reset {
		a.Verb = Drop
	}
	d.add(a)
}

// startLookup starts a lookup of the flow's upstream.
func (d *Dispatcher) startLookup(now time.Time, f *flow, st state, p gdflow.Packet, raw []byte) {
	d.endLookup(f)
	f.state = st
	f.lookup = &lookup{ack: p.Ack, started: now, ofReset: p.Kind == gdflow.Reset}
	d.lookups++
	if d.lookups <= maxBufferedPackets {
		f.lookup.packet = hold(p, raw)
	}
}

// takeProbe reports whether the packet of a lookup may be sent to an agent that can't answer
// a query without it.
func (d *Dispatcher) takeProbe(now time.Time, l *lookup) bool {
	if !l.packet.held() {
		return false
	}
	rate := min(cmp.Or(d.LinkBytesPerSecond, defaultLink), defaultLink) * probeShare
	return d.probes.take(now, rate, rate*probeBurst.Seconds(), float64(len(l.packet.raw)))
}

// endLookup ends a lookup.
func (d *Dispatcher) endLookup(f *flow) {
	if f.lookup != nil {
		f.lookup = nil
		d.lookups--
	}
}

// resolve ends the lookup and forwards the packets that were pending.
func (d *Dispatcher) resolve(now time.Time, k gdflow.Key, f *flow, at holder) {
	var pending []heldPacket
	if f.lookup != nil {
		pending = f.lookup.pending
		if d.OnResolved != nil {
			d.OnResolved(now.Sub(f.lookup.started))
		}
	}
	d.endLookup(f)
	f.state, f.upstream, f.failedLookups = resolved, at, 0
	r, ok := d.view.Route(k.Service())
	for _, p := range pending {
		if ok {
			d.forward(now, r, at, Action{
				Key: k, Packet: p.raw, PacketSeq: p.seq, PacketSize: p.size, Urgent: isUrgent(r), Reason: Known,
			})
		}
	}
}

// forward adds the action that forwards a packet to the agent of the upstream. A packet that
// opens a flow goes only to a service of the configuration in force.
func (d *Dispatcher) forward(now time.Time, r *gddiscovery.Route, to holder, a Action) {
	m := d.memberOf(to)
	if m == nil || a.Opens && !inForce(r, m) {
		a.Verb, a.To, a.Reason = Drop, to.address, NotFound
		d.add(a)
		return
	}
	if a.Opens {
		a.Header.Class, a.Header.Origin = classOf(r), d.origin()
	}
	d.forwardTo(now, m, a)
}

// forwardTo adds the action that forwards a packet to the agent of the upstream.
func (d *Dispatcher) forwardTo(now time.Time, m *gddiscovery.Member, a Action) {
	a.Verb, a.To = Forward, m.Address()
	p, ok := d.view.Pool(m.Upstream().Service)
	if !ok {
		a.Verb, a.Reason = Drop, NotFound
		d.add(a)
		return
	}
	a.Header.Service, a.Header.Exact = p.Hash(), true
	if a.Opens {
		a.Header.Status = d.statusOf(now, p, m)
	}
	d.add(a)
}
