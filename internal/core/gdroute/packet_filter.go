package gdroute

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// PacketFilter decides at the agent whether to accept an arriving packet. It checks
// service, upstream, failure domain and incarnation again, because a balancer may
// act on an outdated view and the agent is the last process that can stop a packet.
//
// The exported fields must be set before the first call. A PacketFilter may be used
// by one goroutine only.
type PacketFilter struct {
	// Self is the upstream that the agent serves.
	Self gdconf.UpstreamID
	// Incarnation distinguishes this process from its predecessors.
	Incarnation uint32
	// MaxFlows limits the established flows without token, and separately the flows
	// that have only been opened. New flows beyond the limit are forwarded.
	MaxFlows int
	// IdleTimeout is the time after its last packet at which such a flow expires.
	IdleTimeout time.Duration

	view     *gdconf.View
	flows    *flowTable
	blocked  bool
	stopping bool
	full     bool
	busy     bool
}

// SetView replaces the view.
func (f *PacketFilter) SetView(v *gdconf.View) { f.view = v }

// View returns the current view, or nil.
func (f *PacketFilter) View() *gdconf.View { return f.view }

// Block makes Check drop every packet until Unblock. It is called when the process
// was paused and its view may be outdated.
func (f *PacketFilter) Block() { f.blocked = true }

// Unblock ends the effect of Block.
func (f *PacketFilter) Unblock() { f.blocked = false }

// SetStopping makes the filter forward new flows because the agent is shutting down.
func (f *PacketFilter) SetStopping() { f.stopping = true }

// SetFull sets whether the agent holds the maximum number of flows.
func (f *PacketFilter) SetFull(full bool) { f.full = full }

// SetBusy sets whether the upstream has no capacity for another flow at present, for
// example during a cold start. A new flow is then forwarded once. A new flow that
// another agent forwarded is accepted all the same, because its requests can still
// be relayed.
func (f *PacketFilter) SetBusy(busy bool) { f.busy = busy }

// Check decides what to do with a packet that arrived at the agent.
func (f *PacketFilter) Check(now time.Time, p Packet) Decision {
	if f.view == nil || f.blocked {
		return drop(NotReady)
	}
	s, ok := f.view.Service(p.service)
	if !ok {
		return drop(UnknownService)
	}
	self, ok := f.view.Upstream(f.Self)
	if ok && self.Service() != s || f.addressMoved(s, p.address) {
		return drop(WrongService)
	}
	if !ok {
		return f.checkOutOfService(now, s, p, UnknownUpstream)
	}
	if self.DomainOut() {
		return f.checkOutOfService(now, s, p, DomainOut)
	}
	if p.hasToken {
		return f.checkToken(p)
	}
	return f.checkKey(now, self, p)
}

// checkOutOfService handles a packet at an agent that must not accept any, because
// the agent was removed or its failure domain is out of service. Packets of this
// agent's own flows are dropped. A packet of any other flow was sent by a process
// that has not received the change yet, and is forwarded to where its flow may be.
func (f *PacketFilter) checkOutOfService(now time.Time, s *gdconf.Service, p Packet, reason Reason) Decision {
	switch {
	case p.hasToken && p.token.Service() == p.service && p.token.Upstream() != f.Self:
		return f.forwardByToken(p)
	case p.hasToken && p.token.Service() != p.service:
		return drop(WrongService)
	case p.hasToken || f.holds(now, p):
		return drop(reason)
	case p.opening:
		return f.forwardByKey(s, p, (*gdconf.Upstream).AcceptsNewFlows)
	}
	return f.forwardByKey(s, p, domainInService)
}

// addressMoved reports whether the address belongs to another service in this view.
// A balancer with an older view may still send packets of an address that has since
// been assigned to another service.
func (f *PacketFilter) addressMoved(s *gdconf.Service, address netip.AddrPort) bool {
	owner, ok := f.view.ServiceByAddress(address)
	return ok && owner != s
}

// checkToken accepts the flows of this incarnation and forwards those of other
// agents, which a balancer with an outdated view may have sent here.
func (f *PacketFilter) checkToken(p Packet) Decision {
	if p.token.Service() != p.service {
		return drop(WrongService)
	}
	if p.token.Upstream() != f.Self {
		return f.forwardByToken(p)
	}
	if p.token.Incarnation() != f.Incarnation {
		return Decision{verdict: Reset, reason: OldIncarnation}
	}
	return Decision{verdict: Accept, reason: ByToken}
}

func (f *PacketFilter) forwardByToken(p Packet) Decision {
	if p.hops >= MaxHops {
		return drop(HopLimit)
	}
	next := routeToken(f.view, p)
	if next.verdict == Forward {
		next.reason = PassedOn
	}
	return next
}

// checkKey accepts held flows, opens new ones and forwards the rest.
func (f *PacketFilter) checkKey(now time.Time, self *gdconf.Upstream, p Packet) Decision {
	if f.holds(now, p) {
		return Decision{verdict: Accept, reason: Held}
	}
	s := self.Service()
	if !p.opening {
		return f.forwardByKey(s, p, domainInService)
	}
	if f.prefersPeer(now, self, p) {
		next := f.forwardByKey(s, p, (*gdconf.Upstream).AcceptsNewFlows)
		switch {
		case next.verdict == Forward:
			return next
		case f.holdsMaximum(now):
			return drop(Full)
		case !f.acceptsNew(now, self):
			return next
		}
	}
	f.table().open(now, p.key)
	return Decision{verdict: Accept, reason: ByRank}
}

// prefersPeer reports whether another agent should accept a new flow.
func (f *PacketFilter) prefersPeer(now time.Time, self *gdconf.Upstream, p Packet) bool {
	return !f.acceptsNew(now, self) || f.busy && p.hops == 0
}

func (f *PacketFilter) acceptsNew(now time.Time, self *gdconf.Upstream) bool {
	return self.AcceptsNewFlows() && !f.stopping && !f.holdsMaximum(now)
}

// holdsMaximum reports whether the agent can hold no further flow.
func (f *PacketFilter) holdsMaximum(now time.Time) bool { return f.full || f.table().full(now) }

// forwardByKey forwards the packet to another upstream that may hold or accept its
// flow.
func (f *PacketFilter) forwardByKey(s *gdconf.Service, p Packet, allowed func(*gdconf.Upstream) bool) Decision {
	if p.hops >= MaxHops {
		return drop(HopLimit)
	}
	u := f.nextUpstream(s, p, allowed)
	if u == nil {
		return drop(UnknownFlow)
	}
	return forward(u, PassedOn)
}

// nextUpstream follows the ranking. At the end of the ranking, a packet that may
// open a flow starts over at its head, because the balancer may have skipped
// upstreams with a ramp. A packet in the middle of a flow continues by identifier
// at the end of the ranking or after maxRankHops.
func (f *PacketFilter) nextUpstream(s *gdconf.Service, p Packet, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	self, known := f.view.Upstream(f.Self)
	if known && (p.opening || p.hops < maxRankHops) {
		if u := nextInRanking(s, p.key, self, allowed); u != nil {
			return u
		}
	}
	if p.opening {
		return firstInRanking(s, p.key, func(u *gdconf.Upstream) bool { return u.ID() != f.Self && allowed(u) })
	}
	if int(p.hops) >= maxRankHops+len(s.Upstreams()) {
		return nil
	}
	return nextByID(s, f.Self, allowed)
}

// table returns the table of flows without token. It is created on first use.
func (f *PacketFilter) table() *flowTable {
	if f.flows == nil {
		f.flows = newFlowTable(f.MaxFlows, f.IdleTimeout)
	}
	return f.flows
}

func (f *PacketFilter) holds(now time.Time, p Packet) bool {
	return f.flows != nil && f.flows.holds(now, p.key, p.opening)
}

// RemoveFlow removes a flow without token.
func (f *PacketFilter) RemoveFlow(key FlowKey) {
	if f.flows != nil {
		f.flows.remove(key)
	}
}
