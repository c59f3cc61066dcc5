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
	// beatInterval is how often an upstream writes its registration, and mostBeats
	// after how many that did not come it is removed.
	beatInterval = 1200 * time.Millisecond
	mostBeats    = 3
	// lingerTime is how much longer than DrainTime a draining upstream serves.
	lingerTime = time.Second
	// queueFactor is how many requests for each slot an upstream has at most.
	queueFactor = 5
	// coldFactor is how much longer its work takes while an upstream is cold.
	coldFactor = 1.6
	// mostFlows is how many flows an upstream holds.
	mostFlows = 2000
	// longestAnswer is how far a confirmation may be from the acceptance that it answers.
	longestAnswer = 1 << 20
)

// Upstream is a stand-in of an upstream, beside an agent.
type Upstream struct {
	gddiscovery.Upstream
	rig      *Rig
	host     *Host
	conn     *net.UDPConn
	health   net.Listener
	flows    map[gdflow.Key]*upstreamFlow
	held     int // the flows that are not over
	working  int
	queue    []request
	coldTill time.Time
	sequence int
	written  gddiscovery.Upstream // what the store has
}

// upstreamFlow is a flow at its upstream.
type upstreamFlow struct {
	key    gdflow.Key
	end    *gdstream.Endpoint
	first  uint32 // the number of the acceptance
	open   bool
	over   bool
	heard  time.Time
	parser requestParser
}

// request is one that waits for a slot or is at work.
type request struct {
	f *upstreamFlow
	requestHead
}

// AddUpstream adds a host with an agent and an upstream of the service.
func (r *Rig) AddUpstream(now time.Time, service, domain string, cold bool) (*Upstream, error) {
	n := r.number(agentNet)
	return r.addUpstreamAt(now, service, domain, r.addr(agentNet, n), r.addr(agentSeenNet, n), cold)
}

// addUpstreamAt adds a host at an address that may have had another upstream.
func (r *Rig) addUpstreamAt(now time.Time, service, domain string, at, seen netip.Addr, cold bool) (*Upstream, error) {
	id := service + "-" + at.String() + "-" + now.Format("150405.000")
	h := &Host{name: "agent-" + id, role: RoleAgent, domain: domain, at: at, seen: seen}
	u := &Upstream{rig: r, host: h, Upstream: gddiscovery.Upstream{
		ID: id, Service: service, Domain: domain, Address: address(netip.AddrPortFrom(seen, upstreamPort)), Slots: r.slotsOf(service),
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

// start starts the upstream's process, so to speak.
func (u *Upstream) start(now time.Time, cold bool) error {
	at := netip.AddrPortFrom(u.host.at, upstreamPort)
	var err error
	if u.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return err
	}
	if u.health, err = net.Listen("tcp4", at.String()); err != nil {
		return err
	}
	u.StartUnixMilli, u.Draining, u.sequence, u.held, u.working, u.queue = now.UnixMilli(), false, 0, 0, 0, nil
	u.written = gddiscovery.Upstream{}
	u.flows = make(map[gdflow.Key]*upstreamFlow)
	u.coldTill = time.Time{}
	if cold {
		u.coldTill = now.Add(ColdTime)
	}
	conn, health := u.conn, u.health
	go u.rig.readPackets(conn, func(now time.Time, raw []byte, _ netip.AddrPort) {
		if u.conn == conn {
			u.take(now, raw)
		}
	})
	go func() {
		for {
			c, err := health.Accept()
			if err != nil {
				return // closed
			}
			_ = c.Close() // the agent only looks whether something listens
		}
	}()
	u.beat(now, conn)
	return nil
}

func (u *Upstream) running() bool { return u.conn != nil }

// beat writes the registration, and again for as long as the process runs.
func (u *Upstream) beat(now time.Time, of *net.UDPConn) {
	if u.conn != of {
		return
	}
	u.register(now)
	u.rig.After(beatInterval, func(now time.Time) { u.beat(now, of) })
}

func (u *Upstream) register(now time.Time) {
	u.sequence++
	u.ColdFor = max(u.coldTill.Sub(now), 0)
	if u.Upstream == u.written {
		return // the store keeps an entry in which only the count is new
	}
	u.written = u.Upstream
	u.rig.store.PutUpstream(now, u.Upstream, u.sequence)
	kind := Registered
	if u.Draining {
		kind = Draining
	}
	if u.sequence == 1 || u.Draining {
		u.rig.saw(Event{Kind: kind, Upstream: u.ID, Service: u.Service, Domain: u.Domain, Host: u.host.name, ColdUntil: u.coldTill})
	}
}

// Drain makes the upstream say that it drains; it leaves, with its host, some time
// after.
func (u *Upstream) Drain(now time.Time) {
	if !u.running() || u.Draining {
		return
	}
	u.Draining = true
	u.register(now)
	of := u.conn
	u.rig.After(DrainTime+lingerTime, func(now time.Time) {
		if u.conn != of {
			return
		}
		u.close()
		u.rig.store.RemoveUpstream(now, u.ID)
		u.left(now)
		u.rig.removeHost(now, u.host)
	})
}

// Crash ends the upstream at once. It starts again, cold, after a time.
func (u *Upstream) Crash(now time.Time, away time.Duration) {
	if !u.running() || u.Draining {
		return
	}
	u.rig.ReportFault(now, u.host, "crash", away, nil)
	u.close()
	u.left(now)
	if away > mostBeats*beatInterval {
		u.rig.After(mostBeats*beatInterval, func(now time.Time) {
			if !u.running() {
				u.rig.store.RemoveUpstream(now, u.ID)
			}
		})
	}
	u.rig.After(away, func(now time.Time) {
		if u.running() || u.rig.stopping {
			return
		}
		if err := u.start(now, true); err != nil {
			u.rig.saw(Event{At: now, Kind: UpstreamStopped, Upstream: u.ID, Text: err.Error()})
		}
	})
}

// ExpireRegistration lets the registration of a live upstream lapse for a time, as an outage of the
// store does.
func (u *Upstream) ExpireRegistration(now time.Time, d time.Duration) {
	if !u.running() || u.Draining {
		return
	}
	u.rig.store.RemoveUpstream(now, u.ID)
	u.rig.ReportFault(now, nil, "lapse "+u.ID, d, func(now time.Time) {
		if u.running() {
			u.written = gddiscovery.Upstream{}
			u.register(now)
		}
	})
}

func (u *Upstream) left(now time.Time) {
	u.rig.saw(Event{At: now, Kind: UpstreamStopped, Upstream: u.ID, Host: u.host.name})
}

func (u *Upstream) close() {
	if !u.running() {
		return
	}
	_, _ = u.conn.Close(), u.health.Close() // nothing is sent any more
	u.conn = nil
}

// send gives a packet to the agent. It is lost while there is no agent.
func (u *Upstream) send(raw []byte) {
	_, _ = u.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(u.host.at, outboundPort))
}

// take takes in a packet.
func (u *Upstream) take(now time.Time, raw []byte) {
	p, err := platformsim.Decode(raw)
	if err != nil || p.Has(platformsim.Open|platformsim.Ack) || p.Has(platformsim.Returned) {
		u.rig.saw(Event{At: now, Kind: PacketAltered, Upstream: u.ID, Flow: gdflow.NewKey(p.From, p.To)})
		return
	}
	key := gdflow.NewKey(p.From, p.To)
	f := u.flows[key]
	switch {
	case p.Has(platformsim.Open):
		u.accept(now, key, p, raw)
	case f == nil || !f.open && p.Ack-f.first-1 > longestAnswer:
		u.rig.saw(Event{At: now, Kind: PacketMisrouted, Upstream: u.ID, Flow: key})
		platformsim.MarkReturned(raw)
		u.send(raw)
	case f.over:
		if p.Has(platformsim.Finish) {
			u.sendPackets([]platformsim.Packet{{From: p.To, To: p.From, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)) + 1, Flags: platformsim.Ack}})
		} else if len(p.Data) > 0 {
			u.sendPackets([]platformsim.Packet{{From: p.To, To: p.From, Seq: p.Ack, Flags: platformsim.Reset}})
		}
	default:
		u.carry(now, f, p)
	}
}

// accept answers the opening of a flow, or a copy of it.
func (u *Upstream) accept(now time.Time, key gdflow.Key, p platformsim.Packet, raw []byte) {
	f := u.flows[key]
	if f == nil {
		if u.held >= mostFlows {
			platformsim.MarkReturned(raw)
			u.send(raw)
			return
		}
		f = &upstreamFlow{key: key, first: u.rig.rand.Uint32(), heard: now}
		f.end = gdstream.New(key.Service(), key.Caller(), f.first+1, p.Seq+1)
		u.flows[key] = f
		u.held++
		u.rig.saw(Event{At: now, Kind: FlowAccepted, Upstream: u.ID, Service: u.Service, Domain: u.Domain, Host: u.host.name, Flow: key})
		u.rig.After(IdleTimeout, func(now time.Time) { u.expire(now, f) })
	}
	if f.over {
		return
	}
	u.sendPackets([]platformsim.Packet{{
		From: p.To, To: p.From, Seq: f.first, Ack: p.Seq + 1, Flags: platformsim.Open | platformsim.Ack,
	}})
}

// expire forgets a flow that has been silent for too long.
func (u *Upstream) expire(now time.Time, f *upstreamFlow) {
	if u.flows[f.key] != f {
		return
	}
	if now.Sub(f.heard) >= IdleTimeout {
		u.over(now, f)
		delete(u.flows, f.key)
		return
	}
	u.rig.After(IdleTimeout, func(now time.Time) { u.expire(now, f) })
}

// carry takes in a packet of a flow that the upstream holds.
func (u *Upstream) carry(now time.Time, f *upstreamFlow, p platformsim.Packet) {
	f.heard = now
	kind := PacketDelivered
	if !f.open {
		f.open = true
		kind = FlowOpened
	}
	u.rig.saw(Event{At: now, Kind: kind, Upstream: u.ID, Host: u.host.name, Flow: f.key})
	if p.Has(platformsim.Reset) {
		u.over(now, f)
		return
	}
	for _, head := range f.parser.take(f.end.Receive(now, p)) {
		u.begin(now, request{f: f, requestHead: head})
	}
	if f.end.PeerFinished() {
		f.end.Finish()
	}
	u.poll(now, f)
}

func (u *Upstream) over(now time.Time, f *upstreamFlow) {
	if !f.over {
		f.over = true
		u.held--
		u.rig.saw(Event{At: now, Kind: FlowClosed, Upstream: u.ID, Flow: f.key})
	}
}

// poll sends what a flow's end has to send, now and later.
func (u *Upstream) poll(now time.Time, f *upstreamFlow) {
	if f.over {
		return
	}
	u.sendPackets(f.end.Poll(now))
	if f.end.Closed() || f.end.TimedOut() {
		u.over(now, f)
		return
	}
	of := u.conn
	u.rig.pollAgain(now, f.end, func(now time.Time) {
		if u.conn == of {
			u.poll(now, f)
		}
	})
}

func (u *Upstream) sendPackets(packets []platformsim.Packet) {
	for _, p := range packets {
		u.send(p.Append(nil))
	}
}

// begin gives a request to a slot, lets it wait, or refuses it.
func (u *Upstream) begin(now time.Time, q request) {
	switch {
	case u.working < u.Slots:
		u.run(now, q)
	case len(u.queue) < u.Slots*queueFactor:
		u.queue = append(u.queue, q)
	default:
		u.answer(now, q, answerNotRun)
	}
}

func (u *Upstream) run(now time.Time, q request) {
	u.working++
	u.rig.saw(Event{At: now, Kind: RequestStarted, Upstream: u.ID, Service: u.Service, ID: q.id, Flow: q.f.key})
	work := u.rig.callers.workOf(q.class)
	if now.Before(u.coldTill) {
		work = time.Duration(float64(work) * coldFactor)
	}
	of := u.conn
	u.rig.After(work, func(now time.Time) {
		if u.conn != of {
			return
		}
		u.working--
		u.answer(now, q, answerDone)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.run(now, next)
		}
	})
}

// answer writes the answer of a request. A draining upstream ends the flow after it.
func (u *Upstream) answer(now time.Time, q request, outcome string) {
	if q.f.over {
		return
	}
	q.f.end.Write(appendAnswer(nil, q.requestHead, outcome))
	if u.Draining {
		q.f.end.Finish()
	}
	u.poll(now, q.f)
}
