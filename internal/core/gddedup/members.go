package gddedup

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// maxSets bounds the member sets that are remembered and sent. When there are
// more, no key is decided until all of them have expired.
const maxSets = 16

// MemberSet is the agents of a service under one configuration, without those
// in a failure domain that is out.
type MemberSet struct {
	// Agents are the identifiers in rising order.
	Agents []gdconf.UpstreamID `cbor:"1,keyasint"`
	// Retired is the Unix time in milliseconds at which the set was last in
	// force at some agent, or zero while it is in force.
	Retired int64 `cbor:"2,keyasint,omitempty"`
}

// member is an agent that may be a home.
type member struct {
	id     gdconf.UpstreamID
	weight float64
}

// membership knows the agents of the service, now and a retention time ago.
type membership struct {
	homes   []member
	present []gdconf.UpstreamID // may be sent packets
	out     []gdconf.UpstreamID // must not be sent packets
	// sets starts with the set in force.
	sets []MemberSet
	// overflow is the time at which a set was last dropped.
	overflow time.Time
}

// set takes the service from a new configuration.
func (m *membership) set(now time.Time, s *gdconf.Service) {
	m.homes, m.present, m.out = nil, nil, nil
	for _, u := range s.Upstreams() {
		if u.DomainOut() {
			m.out = append(m.out, u.ID())
			continue
		}
		m.present = append(m.present, u.ID())
		if u.AcceptsNewFlows() {
			m.homes = append(m.homes, member{u.ID(), u.Weight()})
		}
	}
	agents := slices.Sorted(slices.Values(m.present))
	if len(m.sets) > 0 && slices.Equal(m.sets[0].Agents, agents) {
		return
	}
	if len(m.sets) > 0 {
		m.sets[0].Retired = now.UnixMilli()
	}
	m.sets = slices.DeleteFunc(m.sets, func(s MemberSet) bool { return slices.Equal(s.Agents, agents) })
	m.sets = slices.Insert(m.sets, 0, MemberSet{Agents: agents})
	m.bound(now)
}

// learn takes the sets that a peer knows.
func (m *membership) learn(now time.Time, sets []MemberSet) {
	for _, s := range sets {
		if s.Retired == 0 {
			s.Retired = now.UnixMilli()
		}
		i := slices.IndexFunc(m.sets, func(k MemberSet) bool { return slices.Equal(k.Agents, s.Agents) })
		switch {
		case i < 0:
			m.sets = append(m.sets, s)
			m.bound(now)
		case i > 0:
			m.sets[i].Retired = max(m.sets[i].Retired, s.Retired)
		}
	}
}

func (m *membership) bound(now time.Time) {
	if len(m.sets) > maxSets {
		m.sets = m.sets[:maxSets]
		m.overflow = now
	}
}

// expire forgets the sets that were retired before the given time.
func (m *membership) expire(before time.Time) {
	if m.overflow.Before(before) {
		m.overflow = time.Time{}
	}
	ms := before.UnixMilli()
	m.sets = slices.DeleteFunc(m.sets, func(s MemberSet) bool { return s.Retired != 0 && s.Retired < ms })
}

// known returns the sets as they are sent to a peer.
func (m *membership) known() []MemberSet { return slices.Clone(m.sets) }

// peers returns each agent of any known set, but for self and those that must
// not be sent packets.
func (m *membership) peers(self gdconf.UpstreamID) []gdconf.UpstreamID {
	var ids []gdconf.UpstreamID
	for _, s := range m.sets {
		for _, id := range s.Agents {
			if id != self && !slices.Contains(m.out, id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// decided reports whether the agents that granted a key exclude every other
// process from it: a quorum of the set in force, and of each other known set
// so many that the rest has no quorum.
func (m *membership) decided(granted []gdconf.UpstreamID) bool {
	for i, s := range m.sets {
		need := quorum(len(s.Agents))
		if i > 0 {
			need = len(s.Agents) - need + 1
		}
		if s.count(granted) < need {
			return false
		}
	}
	return len(m.sets) > 0 && m.overflow.IsZero()
}

// count returns how many of the ids are in the set.
func (s MemberSet) count(ids []gdconf.UpstreamID) int {
	n := 0
	for _, id := range ids {
		if _, ok := slices.BinarySearch(s.Agents, id); ok {
			n++
		}
	}
	return n
}

// quorum returns the number of grants that decide in a set of n agents. Two
// quorums share an agent, also when one of the sets has one agent replaced. In a
// set of one there is no quorum, since its replacement would share no agent.
func quorum(n int) int { return max(2, min(n, (n+1)/2+1)) }

func (m *membership) reachable(id gdconf.UpstreamID) bool { return slices.Contains(m.present, id) }

// home returns the first agent of the key in weighted rendezvous order, or zero
// when there is none. It is where attempts meet; the promise rests on grants.
func (m *membership) home(key ident) gdconf.UpstreamID { return first(m.homes, key) }

func first(members []member, key ident) gdconf.UpstreamID {
	var best gdconf.UpstreamID
	bestScore := math.Inf(-1)
	for _, p := range members {
		if s := p.score(key); s > bestScore {
			best, bestScore = p.id, s
		}
	}
	return best
}

// score is the logarithmic form of weighted rendezvous hashing: each agent is
// first for a share of the keys in proportion to its weight.
func (p member) score(key ident) float64 {
	var b [identBytes + 4]byte
	copy(b[:], key[:])
	binary.BigEndian.PutUint32(b[identBytes:], uint32(p.id))
	unit := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -p.weight / math.Log(unit)
}
