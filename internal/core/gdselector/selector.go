package gdselector

import (
	"math/rand/v2"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultMaxLoadAge is the default for Selector.MaxLoadAge.
	DefaultMaxLoadAge = 500 * time.Millisecond
	// DefaultMaxHops is the default for Selector.MaxHops.
	DefaultMaxHops = 1
)

// Selector stores the loads of the other upstreams of a service and selects among them.
// The exported fields must be set before use. It is not safe for concurrent use.
type Selector struct {
	// Rand is the random source for selecting peers.
	Rand *rand.Rand
	// MaxLoadAge is the age up to which a peer's load is used. Zero means
	// DefaultMaxLoadAge.
	MaxLoadAge time.Duration
	// MaxHops is the maximum number of times that one request is relayed. Zero means
	// DefaultMaxHops.
	MaxHops int

	budget  Budget
	started uint64
	peers   []peer
}

// peer is the last reported load of one peer.
type peer struct {
	id         gdconf.UpstreamID
	load       Load
	reportedAt time.Time
}

// SetPeers replaces the set of peers. It keeps the loads of peers that are in both sets.
func (s *Selector) SetPeers(ids []gdconf.UpstreamID) {
	next := make([]peer, 0, len(ids))
	for _, id := range ids {
		p := peer{id: id}
		if i := s.index(id); i >= 0 {
			p = s.peers[i]
		}
		next = append(next, p)
	}
	s.peers = next
}

// ObservePeerLoad records the load that a peer reported. It ignores a report from an
// upstream that is not a peer.
func (s *Selector) ObservePeerLoad(now time.Time, id gdconf.UpstreamID, l Load) {
	i := s.index(id)
	if i < 0 {
		return
	}
	p := &s.peers[i]
	// The first report of a peer, and the first after it restarted, earn nothing.
	if !p.reportedAt.IsZero() && l.started > p.load.started {
		s.budget.Earn(now, l.started-p.load.started, s.agents())
	}
	p.load = l
	p.reportedAt = now
}

// ObserveStart records the start of one request at this upstream and adds its share to
// the budget.
func (s *Selector) ObserveStart(now time.Time) {
	s.started++
	s.budget.Earn(now, 1, s.agents())
}

// Started returns the number of requests started at this upstream.
func (s *Selector) Started() uint64 { return s.started }

// agents returns the number of agents that share the earnings of the budget.
func (s *Selector) agents() int { return len(s.peers) + 1 }

// Relay selects a peer for a request that was relayed hops times before, and charges
// the budget. It returns false if no peer has headroom, if the hops reach MaxHops, or if
// the budget is not sufficient.
func (s *Selector) Relay(now time.Time, hops, priority int) (gdconf.UpstreamID, bool) {
	i, ok := s.choose(now, hops, Load.acceptsRelay)
	if !ok || !s.budget.Spend(now, priority) {
		return 0, false
	}
	return s.charge(i), true
}

// Move selects a peer like [Selector.Relay], but without a charge to the budget. It is
// intended for requests of a leaving upstream's flows, and for new flows for which an
// upstream has no capacity. A moved request has no alternative, so Move also selects a
// peer where the request waits for a short time.
func (s *Selector) Move(now time.Time, hops int) (gdconf.UpstreamID, bool) {
	i, ok := s.choose(now, hops, Load.AcceptsMove)
	if !ok {
		return 0, false
	}
	return s.charge(i), true
}

// ReleaseSlot records that a request that was relayed to the peer no longer holds a
// slot there, so that the slot can be used before the peer's next report.
func (s *Selector) ReleaseSlot(id gdconf.UpstreamID) {
	if i := s.index(id); i >= 0 && s.peers[i].load.inFlight > 0 {
		s.peers[i].load.inFlight--
	}
}

// charge adds one request to the peer's load until ReleaseSlot or the peer's next
// report.
func (s *Selector) charge(i int) gdconf.UpstreamID {
	s.peers[i].load.inFlight++
	return s.peers[i].id
}

// choose returns the index of the less loaded of two random peers that accept the
// request.
func (s *Selector) choose(now time.Time, hops int, accepts func(Load) bool) (int, bool) {
	if hops >= s.maxHops() {
		return 0, false
	}
	first, ok := s.pick(now, -1, accepts)
	if !ok {
		return 0, false
	}
	second, ok := s.pick(now, first, accepts)
	if ok && s.peers[second].load.less(s.peers[first].load) {
		return second, true
	}
	return first, true
}

// pick returns the index of a random peer that accepts the request, other than the one
// at index except. It uses reservoir sampling and does not allocate.
func (s *Selector) pick(now time.Time, except int, accepts func(Load) bool) (int, bool) {
	picked, candidates := 0, 0
	for i, p := range s.peers {
		if i == except || !s.isFresh(now, p) || !accepts(p.load) {
			continue
		}
		candidates++
		if s.Rand.IntN(candidates) == 0 {
			picked = i
		}
	}
	return picked, candidates > 0
}

func (s *Selector) isFresh(now time.Time, p peer) bool {
	return !p.reportedAt.IsZero() && now.Sub(p.reportedAt) <= s.maxLoadAge()
}

func (s *Selector) index(id gdconf.UpstreamID) int {
	return slices.IndexFunc(s.peers, func(p peer) bool { return p.id == id })
}

func (s *Selector) maxLoadAge() time.Duration {
	if s.MaxLoadAge == 0 {
		return DefaultMaxLoadAge
	}
	return s.MaxLoadAge
}

func (s *Selector) maxHops() int {
	if s.MaxHops == 0 {
		return DefaultMaxHops
	}
	return s.MaxHops
}
