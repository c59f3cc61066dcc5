package gdroute

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Door decides at the agent whether a packet may come in. It checks service,
// upstream, failure domain and incarnation again, because a balancer may act on
// an old view: the agent is the last one who can stop a packet.
//
// The exported fields are set before the first call. A Door is used from one
// goroutine.
type Door struct {
	// Self is the upstream beside which the agent runs.
	Self gdconf.UpstreamID
	// Incarnation tells this process from earlier ones in its place.
	Incarnation uint32
	// Flows bounds the flows without token that the door remembers.
	Flows int
	// Idle is how long such a flow is remembered after its last packet.
	Idle time.Duration

	view     *gdconf.View
	held     *simplelru.LRU[FlowKey, time.Time]
	blocked  bool
	stopping bool
	full     bool
	busy     bool
}

// SetView puts a configuration in force.
func (d *Door) SetView(v *gdconf.View) { d.view = v }

// View returns the configuration in force, or nil.
func (d *Door) View() *gdconf.View { return d.view }

// Block drops every packet until Unblock: the process was paused and does not
// know whether its view still holds.
func (d *Door) Block() { d.blocked = true }

// Unblock ends Block.
func (d *Door) Unblock() { d.blocked = false }

// SetStopping makes the door pass on new flows because the agent shuts down.
func (d *Door) SetStopping() { d.stopping = true }

// SetFull says whether the agent holds as many flows as it may.
func (d *Door) SetFull(full bool) { d.full = full }

// SetBusy says whether the upstream bears no further flow at present, such as in
// cold start. A new flow is then passed on once; one that comes from another
// agent is taken all the same, since its requests can still be relayed.
func (d *Door) SetBusy(busy bool) { d.busy = busy }

// Admit decides what is to be done with a packet that reached the agent.
func (d *Door) Admit(now time.Time, p Packet) Decision {
	if d.view == nil || d.blocked {
		return drop(NotReady)
	}
	self, ok := d.view.Upstream(d.Self)
	if !ok {
		return drop(UnknownUpstream)
	}
	if p.service != self.Service().ID() || d.foreign(self, p.address) {
		return drop(WrongService)
	}
	if self.DomainOut() {
		return drop(DomainOut)
	}
	if p.hasToken {
		return d.admitToken(p)
	}
	return d.admitKey(now, self, p)
}

// foreign reports whether the address belongs to another service in this view.
// A balancer that still holds an older view may have sent the packet of an
// address that was given to another service since.
func (d *Door) foreign(self *gdconf.Upstream, address netip.AddrPort) bool {
	owner, ok := d.view.ServiceAt(address)
	return ok && owner.ID() != self.Service().ID()
}

// admitToken lets in the flows of this incarnation and passes on those of other
// agents, which a balancer with an old view may have sent here.
func (d *Door) admitToken(p Packet) Decision {
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

func (d *Door) passToken(p Packet) Decision {
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
func (d *Door) admitKey(now time.Time, self *gdconf.Upstream, p Packet) Decision {
	if d.holds(now, p.key) {
		return Decision{verdict: Accept, reason: Held}
	}
	if !p.opening {
		return d.passKey(self, p, domainIn)
	}
	if d.passesOn(self, p) {
		if next := d.passKey(self, p, (*gdconf.Upstream).TakesNew); next.verdict == Forward || !d.takesNew(self) {
			return next
		}
	}
	d.hold(now, p.key)
	return Decision{verdict: Accept, reason: ByRank}
}

// passesOn reports whether a new flow is better placed at another agent.
func (d *Door) passesOn(self *gdconf.Upstream, p Packet) bool {
	return !d.takesNew(self) || d.busy && p.hops == 0
}

func (d *Door) takesNew(self *gdconf.Upstream) bool {
	return self.TakesNew() && !d.stopping && !d.full
}

// passKey passes the packet to the next upstream of the key's ranking. A new
// flow starts over at the ranking's head when its end is reached, since a ramp
// may have made the balancer skip upstreams.
func (d *Door) passKey(self *gdconf.Upstream, p Packet, allowed func(*gdconf.Upstream) bool) Decision {
	if p.hops >= MaxHops {
		return drop(HopLimit)
	}
	s := self.Service()
	u := after(s, p.key, self, allowed)
	if u == nil && p.opening {
		u = first(s, p.key, func(u *gdconf.Upstream) bool { return u.ID() != d.Self && allowed(u) })
	}
	if u == nil {
		return drop(UnknownFlow)
	}
	return forward(u, PassedOn)
}

func (d *Door) holds(now time.Time, key FlowKey) bool {
	if d.held == nil {
		return false
	}
	last, ok := d.held.Get(key)
	if !ok {
		return false
	}
	if now.Sub(last) > d.Idle {
		d.held.Remove(key)
		return false
	}
	d.held.Add(key, now)
	return true
}

func (d *Door) hold(now time.Time, key FlowKey) {
	if d.held == nil {
		// NewLRU fails only for a size below one.
		d.held, _ = simplelru.NewLRU[FlowKey, time.Time](max(d.Flows, 1), nil)
	}
	d.held.Add(key, now)
}

// End forgets a flow without token.
func (d *Door) End(key FlowKey) {
	if d.held != nil {
		d.held.Remove(key)
	}
}
