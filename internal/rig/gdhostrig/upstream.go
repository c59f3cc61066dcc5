package gdhostrig

import (
	"net"
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdstream"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// registerInterval is the interval at which an upstream writes its registration. The
	// store removes the registration after maxMissedRegistrations missed writes.
	registerInterval       = 1200 * time.Millisecond
	maxMissedRegistrations = 3
	// lingerTime is how long a draining upstream still runs after DrainTime.
	lingerTime = time.Second
	// queuedPerSlot is the maximum number of queued requests per slot.
	queuedPerSlot = 5
	// slowFactor is the factor by which a slow upstream's requests take longer, and
	// coldSlowdown that of a cold one.
	slowFactor   = 4
	coldSlowdown = 1.6
	// maxFlows is the maximum number of flows that an upstream holds.
	maxFlows = 2000
	// maxAckDistance is the maximum difference, in bytes, between the sequence number of
	// an acceptance and the number that the caller's first packet after it acknowledges.
	maxAckDistance = 1 << 20
)

// Upstream simulates an upstream on the host of an agent.
type Upstream struct {
	gddiscovery.Upstream
	rig        *Rig
	host       *Host
	conn       *net.UDPConn
	health     net.Listener
	flows      map[gdflow.Key]*upstreamFlow
	heldFlows  int // the number of flows that are not closed
	busySlots  int
	queue      []request
	coldUntil  time.Time
	sequence   int
	registered gddiscovery.Upstream // the registration written last, without its sequence
	slow       bool                 // a fault makes it slow
	narrow     bool                 // a fault leaves it one slot
}

// upstreamFlow is the upstream's side of a flow.
type upstreamFlow struct {
	key          gdflow.Key
	endpoint     *gdstream.Endpoint
	initialSeq   uint32 // the sequence number of the acceptance
	open         bool
	closed       bool
	lastReceived time.Time
	parser       requestParser
}

// request is a request that waits for a slot or is being served.
type request struct {
	flow *upstreamFlow
	requestHead
}

// AddUpstream adds a host with an agent and an upstream of the service.
func (r *Rig) AddUpstream(now time.Time, service, domain string, cold bool) (*Upstream, error) {
	n := r.nextNumber(agentNet)
	return r.addUpstreamAt(now, service, domain, r.addr(agentNet, n), r.addr(agentProxyNet, n), cold)
}

// addUpstreamAt is AddUpstream at an address that another upstream may have used before.
func (r *Rig) addUpstreamAt(now time.Time, service, domain string, addr, proxyAddr netip.Addr, cold bool) (*Upstream, error) {
	id := service + "-" + addr.String() + "-" + now.Format("150405.000")
	h := &Host{name: "agent-" + id, role: RoleAgent, domain: domain, addr: addr, proxyAddr: proxyAddr}
	u := &Upstream{rig: r, host: h, Upstream: gddiscovery.Upstream{
		ID: id, Service: service, Domain: domain, Address: address(netip.AddrPortFrom(proxyAddr, upstreamPort)), Slots: r.slotsOf(service),
	}}
	h.upstream = u
	if err := u.start(now, cold); err != nil {
		return nil, err
	}
	return u, r.addHost(now, h)
}

func (r *Rig) slotsOf(service string) int {
	for _, s := range r.Shape.Services {
		if s.Name == service {
			return s.Slots
		}
	}
	return 1
}

// start simulates the start of the upstream's process.
func (u *Upstream) start(now time.Time, cold bool) error {
	at := netip.AddrPortFrom(u.host.addr, upstreamPort)
	var err error
	if u.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return err
	}
	if u.health, err = net.Listen("tcp4", at.String()); err != nil {
		return err
	}
	u.StartUnixMilli, u.Draining, u.sequence, u.heldFlows, u.busySlots, u.queue = now.UnixMilli(), false, 0, 0, 0, nil
	u.registered = gddiscovery.Upstream{}
	u.flows = make(map[gdflow.Key]*upstreamFlow)
	u.coldUntil = time.Time{}
	if cold {
		u.coldUntil = now.Add(ColdTime)
	}
	conn, health := u.conn, u.health
	go u.rig.readPackets(conn, func(now time.Time, raw []byte, _ netip.AddrPort) {
		if u.conn == conn {
			u.receive(now, raw)
		}
	})
	go func() {
		for {
			c, err := health.Accept()
			if err != nil {
				return // closed
			}
			_ = c.Close() // the agent's health check only connects
		}
	}()
	u.keepRegistered(now, conn)
	return nil
}

// Host returns the host of the upstream.
func (u *Upstream) Host() *Host { return u.host }

func (u *Upstream) running() bool { return u.conn != nil }

// keepRegistered writes the registration at intervals until the simulated process that
// opened conn stops.
func (u *Upstream) keepRegistered(now time.Time, conn *net.UDPConn) {
	if u.conn != conn {
		return
	}
	u.register(now)
	u.rig.After(registerInterval, func(now time.Time) { u.keepRegistered(now, conn) })
}

func (u *Upstream) register(now time.Time) {
	u.sequence++
	u.ColdFor = max(u.coldUntil.Sub(now), 0)
	if u.Upstream == u.registered {
		return // the store would ignore a write that changes only the sequence
	}
	u.registered = u.Upstream
	u.rig.store.PutUpstream(now, u.Upstream, u.sequence)
	kind := Registered
	if u.Draining {
		kind = Draining
	}
	if u.sequence == 1 || u.Draining {
		u.rig.observe(Event{Kind: kind, Upstream: u.ID, Service: u.Service, Domain: u.Domain, Host: u.host.name, ColdUntil: u.coldUntil})
	}
}

// Drain registers the upstream as draining. The upstream and its host are removed after
// DrainTime plus lingerTime.
func (u *Upstream) Drain(now time.Time) {
	if !u.running() || u.Draining {
		return
	}
	u.Draining = true
	u.register(now)
	conn := u.conn
	u.rig.After(DrainTime+lingerTime, func(now time.Time) {
		if u.conn != conn {
			return
		}
		u.close()
		u.rig.store.RemoveUpstream(now, u.ID)
		u.reportStopped(now)
		u.rig.removeHost(now, u.host)
	})
}

// Crash stops the upstream at once and starts it again, cold, after the downtime.
func (u *Upstream) Crash(now time.Time, downtime time.Duration) {
	if !u.running() || u.Draining {
		return
	}
	u.rig.ReportFault(now, u.host, "crash", downtime, nil)
	u.close()
	u.reportStopped(now)
	if downtime > maxMissedRegistrations*registerInterval {
		u.rig.After(maxMissedRegistrations*registerInterval, func(now time.Time) {
			if !u.running() {
				u.rig.store.RemoveUpstream(now, u.ID)
			}
		})
	}
	u.rig.After(downtime, func(now time.Time) {
		if u.running() || u.rig.stopping {
			return
		}
		if err := u.start(now, true); err != nil {
			u.rig.observe(Event{At: now, Kind: UpstreamStopped, Upstream: u.ID, Text: err.Error()})
		}
	})
}

// Slow makes the upstream take slowFactor times as long for each request, for the duration d.
func (u *Upstream) Slow(now time.Time, d time.Duration) {
	if !u.running() || u.slow {
		return
	}
	u.slow = true
	u.rig.ReportFault(now, u.host, "slow", d, func(time.Time) { u.slow = false })
}

// ExpireRegistration removes the registration of a running upstream for the duration d, as
// an outage of the store does.
func (u *Upstream) ExpireRegistration(now time.Time, d time.Duration) {
	if !u.running() || u.Draining {
		return
	}
	u.rig.store.RemoveUpstream(now, u.ID)
	u.rig.ReportFault(now, nil, "lapse "+u.ID, d, u.registerAgain)
}

// registerAgain writes the registration even if it has not changed.
func (u *Upstream) registerAgain(now time.Time) {
	if u.running() {
		u.registered = gddiscovery.Upstream{}
		u.register(now)
	}
}

func (u *Upstream) reportStopped(now time.Time) {
	u.rig.observe(Event{At: now, Kind: UpstreamStopped, Upstream: u.ID, Host: u.host.name})
}

func (u *Upstream) close() {
	if !u.running() {
		return
	}
	_, _ = u.conn.Close(), u.health.Close() // errors don't matter, nothing more is sent
	u.conn = nil
}

// send sends a packet to the agent. The packet is lost while no agent runs.
func (u *Upstream) send(raw []byte) {
	_, _ = u.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(u.host.addr, outboundPort))
}

// receive handles a packet from the agent. If the upstream does not hold the packet's
// flow, it sends the packet back to the agent, marked as returned.
func (u *Upstream) receive(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil || p.Has(platformsim.Open|platformsim.Ack) || p.Has(platformsim.Returned) {
		u.rig.observe(Event{At: now, Kind: PacketAltered, Upstream: u.ID, Flow: gdflow.NewKey(p.From, p.To)})
		return
	}
	key := gdflow.NewKey(p.From, p.To)
	f := u.flows[key]
	switch {
	case p.Has(platformsim.Open):
		u.accept(now, key, p, raw)
	case f == nil || !f.open && p.Ack-f.initialSeq-1 > maxAckDistance:
		u.rig.observe(Event{At: now, Kind: PacketMisrouted, Upstream: u.ID, Flow: key})
		platformsim.MarkReturned(raw)
		u.send(raw)
	case f.closed:
		if p.Has(platformsim.Finish) {
			u.sendPackets([]platformsim.Packet{{From: p.To, To: p.From, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)) + 1, Flags: platformsim.Ack}})
		} else if len(p.Data) > 0 {
			u.sendPackets([]platformsim.Packet{{From: p.To, To: p.From, Seq: p.Ack, Flags: platformsim.Reset}})
		}
	default:
		u.receiveOnFlow(now, f, p)
	}
}

// accept handles the packet that opens a flow, or a copy of it. If the upstream already
// holds maxFlows flows, it sends the packet back to the agent, marked as returned.
func (u *Upstream) accept(now time.Time, key gdflow.Key, p platformsim.Packet, raw []byte) {
	f := u.flows[key]
	if f == nil {
		if u.heldFlows >= maxFlows {
			platformsim.MarkReturned(raw)
			u.send(raw)
			return
		}
		f = &upstreamFlow{key: key, initialSeq: u.rig.rand.Uint32(), lastReceived: now}
		f.endpoint = gdstream.New(key.Service(), key.Caller(), f.initialSeq+1, p.Seq+1)
		u.flows[key] = f
		u.heldFlows++
		u.rig.observe(Event{At: now, Kind: FlowAccepted, Upstream: u.ID, Service: u.Service, Domain: u.Domain, Host: u.host.name, Flow: key})
		u.rig.After(IdleTimeout, func(now time.Time) { u.expire(now, f) })
	}
	if f.closed {
		return
	}
	u.sendPackets([]platformsim.Packet{{
		From: p.To, To: p.From, Seq: f.initialSeq, Ack: p.Seq + 1, Flags: platformsim.Open | platformsim.Ack,
	}})
}

// expire removes a flow that has been idle for IdleTimeout.
func (u *Upstream) expire(now time.Time, f *upstreamFlow) {
	if u.flows[f.key] != f {
		return
	}
	if now.Sub(f.lastReceived) >= IdleTimeout {
		u.closeFlow(now, f)
		delete(u.flows, f.key)
		return
	}
	u.rig.After(IdleTimeout, func(now time.Time) { u.expire(now, f) })
}

// receiveOnFlow handles a packet of a flow that the upstream holds.
func (u *Upstream) receiveOnFlow(now time.Time, f *upstreamFlow, p platformsim.Packet) {
	f.lastReceived = now
	kind := PacketDelivered
	if !f.open {
		f.open = true
		kind = FlowOpened
	}
	u.rig.observe(Event{At: now, Kind: kind, Upstream: u.ID, Host: u.host.name, Flow: f.key})
	if p.Has(platformsim.Reset) {
		u.closeFlow(now, f)
		return
	}
	for _, head := range f.parser.parse(f.endpoint.Receive(now, p)) {
		u.schedule(now, request{flow: f, requestHead: head})
	}
	if f.endpoint.PeerFinished() {
		f.endpoint.Finish()
	}
	u.poll(now, f)
}

func (u *Upstream) closeFlow(now time.Time, f *upstreamFlow) {
	if !f.closed {
		f.closed = true
		u.heldFlows--
		u.rig.observe(Event{At: now, Kind: FlowClosed, Upstream: u.ID, Flow: f.key})
	}
}

// poll sends what a flow's endpoint has to send, now and when it is to retransmit.
func (u *Upstream) poll(now time.Time, f *upstreamFlow) {
	if f.closed {
		return
	}
	u.sendPackets(f.endpoint.Poll(now))
	if f.endpoint.Closed() || f.endpoint.TimedOut() {
		u.closeFlow(now, f)
		return
	}
	conn := u.conn
	u.rig.schedulePoll(now, f.endpoint, func(now time.Time) {
		if u.conn == conn {
			u.poll(now, f)
		}
	})
}

func (u *Upstream) sendPackets(packets []platformsim.Packet) {
	for _, p := range packets {
		u.send(p.Append(nil))
	}
}

// schedule serves a request if a slot is free, queues it, or refuses it if the queue is full.
func (u *Upstream) schedule(now time.Time, q request) {
	switch {
	case u.busySlots < u.Slots:
		u.serve(now, q)
	case len(u.queue) < u.maxQueue():
		u.queue = append(u.queue, q)
	default:
		u.answer(now, q, answerNotRun)
	}
}

func (u *Upstream) serve(now time.Time, q request) {
	u.busySlots++
	u.rig.observe(Event{At: now, Kind: RequestStarted, Upstream: u.ID, Service: u.Service, ID: q.id, Flow: q.flow.key})
	serviceTime := u.rig.callers.serviceTime(q.class)
	if u.slow {
		serviceTime *= slowFactor
	}
	if now.Before(u.coldUntil) {
		serviceTime = time.Duration(float64(serviceTime) * coldSlowdown)
	}
	conn := u.conn
	u.rig.After(serviceTime, func(now time.Time) {
		if u.conn != conn {
			return
		}
		u.busySlots--
		u.answer(now, q, answerDone)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.serve(now, next)
		}
	})
}

// answer sends the answer to a request. A draining upstream then ends its side of the flow.
func (u *Upstream) answer(now time.Time, q request, outcome string) {
	if q.flow.closed {
		return
	}
	q.flow.endpoint.Write(appendAnswer(nil, q.requestHead, outcome))
	if u.Draining {
		q.flow.endpoint.Finish()
	}
	u.poll(now, q.flow)
}
