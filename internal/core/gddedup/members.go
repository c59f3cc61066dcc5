package gddedup

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// maxSets bounds the member sets that are recorded and sent. If there are more,
// no claim succeeds until all of them have expired.
const maxSets = 16

// MemberSet is the set of agents of a service under one configuration, without
// those in a failure domain that is out of service.
type MemberSet struct {
	// Agents are the identifiers in ascending order.
	Agents []gdconf.UpstreamID `cbor:"1,keyasint"`
	// Retired is the Unix time in milliseconds at which the set was last current
	// at some agent, or zero while it is current.
	Retired int64 `cbor:"2,keyasint,omitempty"`
}

// member is an agent that can be a home.
type member struct {
	id     gdconf.UpstreamID
	weight float64
}

// membership records the agents of the service, at present and up to a
// retention time ago.
type membership struct {
	homes           []member
	reachableAgents []gdconf.UpstreamID // packets may be sent to them
	outAgents       []gdconf.UpstreamID // no packet may be sent to them
	// sets starts with the current set.
	sets []MemberSet
	// overflowAt is the time at which a set was last dropped because there were
	// too many.
	overflowAt time.Time
}

// setService applies the service from a new configuration.
func (m *membership) setService(now time.Time, s *gdconf.Service) {
	m.homes, m.reachableAgents, m.outAgents = nil, nil, nil
	for _, u := range s.Upstreams() {
		if u.DomainOut() {
			m.outAgents = append(m.outAgents, u.ID())
			continue
		}
		m.reachableAgents = append(m.reachableAgents, u.ID())
		if u.AcceptsNewFlows() {
			m.homes = append(m.homes, member{u.ID(), u.Weight()})
		}
	}
	agents := slices.Sorted(slices.Values(m.reachableAgents))
	if len(m.sets) > 0 && slices.Equal(m.sets[0].Agents, agents) {
		return
	}
	if len(m.sets) > 0 {
		m.sets[0].Retired = now.UnixMilli()
	}
	m.sets = slices.DeleteFunc(m.sets, func(s MemberSet) bool { return slices.Equal(s.Agents, agents) })
	m.sets = slices.Insert(m.sets, 0, MemberSet{Agents: agents})
	m.truncate(now)
}

// merge adds the sets that a peer knows.
func (m *membership) merge(now time.Time, sets []MemberSet) {
	for _, s := range sets {
		if s.Retired == 0 {
			s.Retired = now.UnixMilli()
		}
		i := slices.IndexFunc(m.sets, func(k MemberSet) bool { return slices.Equal(k.Agents, s.Agents) })
		switch {
		case i < 0:
			m.sets = append(m.sets, s)
			m.truncate(now)
		case i > 0:
			m.sets[i].Retired = max(m.sets[i].Retired, s.Retired)
		}
	}
}

func (m *membership) truncate(now time.Time) {
	if len(m.sets) > maxSets {
		m.sets = m.sets[:maxSets]
		m.overflowAt = now
	}
}

// expire removes the sets that were retired before the given time.
func (m *membership) expire(before time.Time) {
	if m.overflowAt.Before(before) {
		m.overflowAt = time.Time{}
	}
	ms := before.UnixMilli()
	m.sets = slices.DeleteFunc(m.sets, func(s MemberSet) bool { return s.Retired != 0 && s.Retired < ms })
}

// memberSets returns a copy of the sets, to be sent to a peer.
func (m *membership) memberSets() []MemberSet { return slices.Clone(m.sets) }

// peers returns each agent of any recorded set, except self and those to which
// no packet may be sent.
func (m *membership) peers(self gdconf.UpstreamID) []gdconf.UpstreamID {
	var ids []gdconf.UpstreamID
	for _, s := range m.sets {
		for _, id := range s.Agents {
			if id != self && !slices.Contains(m.outAgents, id) && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// hasQuorum reports whether the agents that granted a key exclude every other
// process from it: they are a quorum of the current set, and in each other
// recorded set the remaining agents are not a quorum.
func (m *membership) hasQuorum(granted []gdconf.UpstreamID) bool {
	for i, s := range m.sets {
		need := quorum(len(s.Agents))
		if i > 0 {
			need = len(s.Agents) - need + 1
		}
		if s.count(granted) < need {
			return false
		}
	}
	return len(m.sets) > 0 && m.overflowAt.IsZero()
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

// quorum returns the number of grants that decide in a set of n agents. Any two
// quorums share an agent, even if one of the sets has one agent replaced. A set
// of one has no quorum, since its replacement would share no agent with it.
func quorum(n int) int { return max(2, min(n, (n+1)/2+1)) }

func (m *membership) reachable(id gdconf.UpstreamID) bool {
	return slices.Contains(m.reachableAgents, id)
}

// home returns the first agent of the key in weighted rendezvous order, or zero
// if there is none. It is only where attempts meet; at-most-once execution is
// ensured by the grants.
func (m *membership) home(key ident) gdconf.UpstreamID { return bestHome(m.homes, key) }

func bestHome(members []member, key ident) gdconf.UpstreamID {
	var best gdconf.UpstreamID
	bestScore := math.Inf(-1)
	for _, p := range members {
		if s := p.score(key); s > bestScore {
			best, bestScore = p.id, s
		}
	}
	return best
}

// score implements the logarithmic form of weighted rendezvous hashing: each
// agent is first for a share of the keys in proportion to its weight.
func (p member) score(key ident) float64 {
	var b [identBytes + 4]byte
	copy(b[:], key[:])
	binary.BigEndian.PutUint32(b[identBytes:], uint32(p.id))
	unit := (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
	return -p.weight / math.Log(unit)
}
