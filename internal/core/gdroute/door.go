package gdroute

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// PacketFilter decides at the agent whether a packet may come in. It checks service,
// upstream, failure domain and incarnation again, because a balancer may act on
// an old view: the agent is the last one who can stop a packet.
//
// The exported fields are set before the first call. A PacketFilter is used from one
// goroutine.
type PacketFilter struct {
	// Self is the upstream beside which the agent runs.
	Self gdconf.UpstreamID
	// Incarnation tells this process from earlier ones in its place.
	Incarnation uint32
	// MaxFlows bounds the established flows without token that the door remembers,
	// and as many that have only been opened. New ones are passed on beyond it.
	MaxFlows int
	// IdleTimeout is how long such a flow is remembered after its last packet.
	IdleTimeout time.Duration

	view     *gdconf.View
	held     *flowTable
	blocked  bool
	stopping bool
	full     bool
	busy     bool
}

// SetView puts a configuration in force.
func (d *PacketFilter) SetView(v *gdconf.View) { d.view = v }

// View returns the configuration in force, or nil.
func (d *PacketFilter) View() *gdconf.View { return d.view }

// Block drops every packet until Unblock: the process was paused and does not
// know whether its view still holds.
func (d *PacketFilter) Block() { d.blocked = true }

// Unblock ends Block.
func (d *PacketFilter) Unblock() { d.blocked = false }

// SetStopping makes the door pass on new flows because the agent shuts down.
func (d *PacketFilter) SetStopping() { d.stopping = true }

// SetFull says whether the agent holds as many flows as it may.
func (d *PacketFilter) SetFull(full bool) { d.full = full }

// SetBusy says whether the upstream bears no further flow at present, such as in
// cold start. A new flow is then passed on once; one that comes from another
// agent is taken all the same, since its requests can still be relayed.
func (d *PacketFilter) SetBusy(busy bool) { d.busy = busy }

// Check decides what is to be done with a packet that reached the agent.
func (d *PacketFilter) Check(now time.Time, p Packet) Decision {
	if d.view == nil || d.blocked {
		return drop(NotReady)
	}
	s, ok := d.view.Service(p.service)
	if !ok {
		return drop(UnknownService)
	}
	self, ok := d.view.Upstream(d.Self)
	if ok && self.Service() != s || d.foreign(s, p.address) {
		return drop(WrongService)
	}
	if !ok {
		return d.turnAway(now, s, p, UnknownUpstream)
	}
	if self.DomainOut() {
		return d.turnAway(now, s, p, DomainOut)
	}
	if p.hasToken {
		return d.admitToken(p)
	}
	return d.admitKey(now, self, p)
}

// turnAway handles a packet at an agent that must accept none, because it was
// removed or its failure domain is out. The flows of this agent are given up. A
// packet of any other flow came from a process that does not know of the change
// yet, and goes on to where its flow may be.
func (d *PacketFilter) turnAway(now time.Time, s *gdconf.Service, p Packet, reason Reason) Decision {
	switch {
	case p.hasToken && p.token.Service() == p.service && p.token.Upstream() != d.Self:
		return d.passToken(p)
	case p.hasToken && p.token.Service() != p.service:
		return drop(WrongService)
	case p.hasToken || d.holds(now, p):
		return drop(reason)
	case p.opening:
		return d.passKey(s, p, (*gdconf.Upstream).AcceptsNewFlows)
	}
	return d.passKey(s, p, domainIn)
}

// foreign reports whether the address belongs to another service in this view.
// A balancer that still holds an older view may have sent the packet of an
// address that was given to another service since.
func (d *PacketFilter) foreign(s *gdconf.Service, address netip.AddrPort) bool {
	owner, ok := d.view.ServiceByAddress(address)
	return ok && owner != s
}

// admitToken lets in the flows of this incarnation and passes on those of other
// agents, which a balancer with an old view may have sent here.
func (d *PacketFilter) admitToken(p Packet) Decision {
	if p.token.Service() != p.service {
		return drop(WrongService)
	}
	if p.token.Upstream() != d.Self {
		return d.passToken(p)
	}
	if p.token.Incarnation() != d.Incarnation {
		return Decision{verdict: Reset, reason: OldIncarnation}
	}
	return Decision{verdict: Accept, reason: ByToken}
}

func (d *PacketFilter) passToken(p Packet) Decision {
	if p.hops >= MaxHops {
		return drop(HopLimit)
	}
	next := routeToken(d.view, p)
	if next.verdict == Forward {
		next.reason = PassedOn
	}
	return next
}

// admitKey lets in held flows, opens new ones and passes on the rest.
func (d *PacketFilter) admitKey(now time.Time, self *gdconf.Upstream, p Packet) Decision {
	if d.holds(now, p) {
		return Decision{verdict: Accept, reason: Held}
	}
	s := self.Service()
	if !p.opening {
		return d.passKey(s, p, domainIn)
	}
	if d.passesOn(now, self, p) {
		if next := d.passKey(s, p, (*gdconf.Upstream).AcceptsNewFlows); next.verdict == Forward || !d.takesNew(now, self) {
			return next
		}
	}
	d.table().open(now, p.key)
	return Decision{verdict: Accept, reason: ByRank}
}

// passesOn reports whether a new flow is better placed at another agent.
func (d *PacketFilter) passesOn(now time.Time, self *gdconf.Upstream, p Packet) bool {
	return !d.takesNew(now, self) || d.busy && p.hops == 0
}

func (d *PacketFilter) takesNew(now time.Time, self *gdconf.Upstream) bool {
	return self.AcceptsNewFlows() && !d.stopping && !d.full && !d.table().full(now)
}

// passKey passes the packet to another upstream that may hold or take its flow.
func (d *PacketFilter) passKey(s *gdconf.Service, p Packet, allowed func(*gdconf.Upstream) bool) Decision {
	if p.hops >= MaxHops {
		return drop(HopLimit)
	}
	u := d.next(s, p, allowed)
	if u == nil {
		return drop(UnknownFlow)
	}
	return forward(u, PassedOn)
}

// next follows the ranking. At its end a new flow starts over at the head, since
// a ramp may have made the balancer skip upstreams. A flow in progress goes on
// by identifier, at the ranking's end or after rankHops.
func (d *PacketFilter) next(s *gdconf.Service, p Packet, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	self, known := d.view.Upstream(d.Self)
	if known && (p.opening || p.hops < rankHops) {
		if u := after(s, p.key, self, allowed); u != nil {
			return u
		}
	}
	if p.opening {
		return first(s, p.key, func(u *gdconf.Upstream) bool { return u.ID() != d.Self && allowed(u) })
	}
	if int(p.hops) >= rankHops+len(s.Upstreams()) {
		return nil
	}
	return follower(s, d.Self, allowed)
}

// table returns the flows without token, which it makes with the first of them.
func (d *PacketFilter) table() *flowTable {
	if d.held == nil {
		d.held = newFlowTable(d.MaxFlows, d.IdleTimeout)
	}
	return d.held
}

func (d *PacketFilter) holds(now time.Time, p Packet) bool {
	return d.held != nil && d.held.holds(now, p.key, p.opening)
}

// RemoveFlow forgets a flow without token.
func (d *PacketFilter) RemoveFlow(key FlowKey) {
	if d.held != nil {
		d.held.end(key)
	}
}
