package gdselector

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultMaxLoadAge is the age up to which a peer's load is believed.
	DefaultMaxLoadAge = 500 * time.Millisecond
	// DefaultMaxHops is the number of times that one request may be relayed.
	DefaultMaxHops = 1
)

// Selector knows the loads of a service's other upstreams and chooses among them.
// The exported fields are set before use. It is not safe for concurrent use.
type Selector struct {
	// Rand is the random source of the choices.
	Rand *rand.Rand
	// MaxLoadAge is the age up to which a peer's load is believed. Zero means
	// DefaultFresh.
	MaxLoadAge time.Duration
	// MaxHops is the number of times that one request may be relayed. Zero means
	// DefaultHops.
	MaxHops int

	budget  Budget
	started uint64
	peers   []peer
}

// peer is the last that is known of one peer.
type peer struct {
	id   gdconf.UpstreamID
	load Load
	at   time.Time
}

// SetPeers replaces the set of peers. Loads of peers that stay are kept.
func (c *Selector) SetPeers(ids []gdconf.UpstreamID) {
	next := make([]peer, 0, len(ids))
	for _, id := range ids {
		p := peer{id: id}
		if i := c.index(id); i >= 0 {
			p = c.peers[i]
		}
		next = append(next, p)
	}
	c.peers = next
}

// ObservePeerLoad notes the load that a peer reported. A report from an upstream that
// is no peer is ignored.
func (c *Selector) ObservePeerLoad(now time.Time, id gdconf.UpstreamID, l Load) {
	i := c.index(id)
	if i < 0 {
		return
	}
	p := &c.peers[i]
	// A first report, and one of an agent that began anew, earns nothing.
	if !p.at.IsZero() && l.started > p.load.started {
		c.budget.Earn(now, l.started-p.load.started, c.agents())
	}
	p.load = l
	p.at = now
}

// ObserveStart earns the budget for one request started here.
func (c *Selector) ObserveStart(now time.Time) {
	c.started++
	c.budget.Earn(now, 1, c.agents())
}

// Started returns the number of requests started here.
func (c *Selector) Started() uint64 { return c.started }

// agents is the number of agents that share the budget's earnings.
func (c *Selector) agents() int { return len(c.peers) + 1 }

// Relay chooses a peer for a request that was relayed hops times before, and
// charges the budget. It reports false when no peer has room, or when the hops
// or the budget are used up.
func (c *Selector) Relay(now time.Time, hops, priority int) (gdconf.UpstreamID, bool) {
	i, ok := c.choose(now, hops, Load.takesRelay)
	if !ok || !c.budget.Spend(now, priority) {
		return 0, false
	}
	return c.take(i), true
}

// Move chooses a peer like [Selector.Relay], without a charge to the budget. It is
// meant for requests of a leaving upstream's flows and for new flows that an
// upstream can't bear. As a moved request has no other place, a short wait at the
// peer is accepted.
func (c *Selector) Move(now time.Time, hops int) (gdconf.UpstreamID, bool) {
	i, ok := c.choose(now, hops, Load.AcceptsMove)
	if !ok {
		return 0, false
	}
	return c.take(i), true
}

// ReleaseSlot notes that a request that was passed to the peer no longer holds a
// slot there, so that the next one need not wait for the peer's report.
func (c *Selector) ReleaseSlot(id gdconf.UpstreamID) {
	if i := c.index(id); i >= 0 && c.peers[i].load.inFlight > 0 {
		c.peers[i].load.inFlight--
	}
}

// take charges one request to the peer until it returns or the peer reports
// again.
func (c *Selector) take(i int) gdconf.UpstreamID {
	c.peers[i].load.inFlight++
	return c.peers[i].id
}

// choose returns the less loaded of two random peers that take the request.
func (c *Selector) choose(now time.Time, hops int, takes func(Load) bool) (int, bool) {
	if hops >= c.hops() {
		return 0, false
	}
	first, ok := c.pick(now, -1, takes)
	if !ok {
		return 0, false
	}
	second, ok := c.pick(now, first, takes)
	if ok && c.peers[second].load.less(c.peers[first].load) {
		return second, true
	}
	return first, true
}

// pick returns a random peer other than the one at index except. It samples while
// it walks, so that it needs no memory.
func (c *Selector) pick(now time.Time, except int, takes func(Load) bool) (int, bool) {
	found, seen := 0, 0
	for i, p := range c.peers {
		if i == except || !c.isFresh(now, p) || !takes(p.load) {
			continue
		}
		seen++
		if c.Rand.IntN(seen) == 0 {
			found = i
		}
	}
	return found, seen > 0
}

func (c *Selector) isFresh(now time.Time, p peer) bool {
	return !p.at.IsZero() && now.Sub(p.at) <= c.fresh()
}

func (c *Selector) index(id gdconf.UpstreamID) int {
	return slices.IndexFunc(c.peers, func(p peer) bool { return p.id == id })
}

func (c *Selector) fresh() time.Duration {
	if c.MaxLoadAge == 0 {
		return DefaultMaxLoadAge
	}
	return c.MaxLoadAge
}

func (c *Selector) hops() int {
	if c.MaxHops == 0 {
		return DefaultMaxHops
	}
	return c.MaxHops
}
