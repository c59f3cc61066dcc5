package gdsync

import (
	"math/rand/v2"
	"slices"
	"strings"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// membership is the list of the fleet's processes: the agents of the
// configuration, the platform's hosts, the peers from the settings and those that
// sent a digest. It lags
// and may name processes that are gone. It may hold the process itself, which
// is never picked.
type membership struct {
	self   string
	seeds  []Member
	hosts  []Member
	agents []Member
	// learned are peers that sent a digest and are on no list.
	learned []Member
	// list is the union, sorted by name. It is the slice of the hosts when that
	// has all others.
	list []Member
	// near are the names of the peers that get digests. They change slowly, so
	// that their connections are used again.
	near [nearPeers]string
}

const (
	// maxLearned bounds the peers that are known from their digests alone.
	maxLearned = 16
	// nearPeers is the number of peers that get digests.
	nearPeers = 8
	// nearChange is the probability that a digest replaces one of them.
	nearChange = 1.0 / 16
)

func byName(a, b Member) int { return strings.Compare(a.name, b.name) }

// setHosts takes the platform's list in place of the last one.
func (m *membership) setHosts(hosts []Member) {
	if !slices.IsSortedFunc(hosts, byName) {
		hosts = slices.SortedFunc(slices.Values(hosts), byName)
	}
	m.hosts = hosts
	m.merge()
}

// setView takes the agents of the configuration in force.
func (m *membership) setView(v *gdconf.View) {
	agents := make([]Member, 0, v.UpstreamCount())
	for _, s := range v.Deployment().Services {
		for _, u := range s.Upstreams {
			agents = append(agents, NewMember(u.Name, u.Agent))
		}
	}
	slices.SortFunc(agents, byName)
	if slices.Equal(agents, m.agents) {
		return
	}
	m.agents = agents
	m.merge()
}

// merge forms the union. Where two sources give a name different addresses, the
// configuration goes before the platform's list and that before the settings.
func (m *membership) merge() {
	m.list = m.hosts
	for _, p := range m.agents {
		if i, ok := m.search(p.name); !ok || m.list[i] != p {
			m.list = m.union()
			return
		}
	}
	for _, p := range slices.Concat(m.seeds, m.learned) {
		if _, ok := m.search(p.name); !ok {
			m.list = m.union()
			return
		}
	}
}

func (m *membership) union() []Member {
	all := slices.Concat(m.agents, m.hosts, m.seeds, m.learned)
	slices.SortStableFunc(all, byName)
	same := func(a, b Member) bool { return a.name == b.name }
	return slices.CompactFunc(all, same)
}

// learn adds a peer that is on no list. The oldest of the learned ones gives way.
func (m *membership) learn(p Member) {
	if _, ok := m.search(p.name); ok || p.address == "" {
		return
	}
	m.learned = append(m.learned, p)
	if len(m.learned) > maxLearned {
		m.learned = m.learned[1:]
	}
	m.merge()
}

func (m *membership) search(name string) (int, bool) {
	return slices.BinarySearchFunc(m.list, name, func(p Member, s string) int {
		return strings.Compare(p.name, s)
	})
}

// size returns the number of processes, this one included.
func (m *membership) size() int {
	if _, ok := m.search(m.self); ok {
		return len(m.list)
	}
	return len(m.list) + 1
}

// find returns the member with the name, or else with the control address.
func (m *membership) find(peer string) (Member, bool) {
	i, ok := m.search(peer)
	if !ok {
		i = slices.IndexFunc(m.list, func(p Member) bool { return p.address == peer })
	}
	if i < 0 || m.list[i].name == m.self {
		return Member{}, false
	}
	return m.list[i], true
}

// sample returns up to n different random members other than the one named and
// the process itself.
func (m *membership) sample(rnd *rand.Rand, n int, except string) []Member {
	var taken []int
	for _, name := range []string{m.self, except} {
		if i, ok := m.search(name); ok && !slices.Contains(taken, i) {
			taken = append(taken, i)
		}
	}
	var picked []Member
	for len(picked) < n && len(taken) < len(m.list) {
		i := rnd.IntN(len(m.list))
		if slices.Contains(taken, i) {
			continue
		}
		taken = append(taken, i)
		picked = append(picked, m.list[i])
	}
	return picked
}

// nearPeer returns a random one of the few peers that get digests.
func (m *membership) nearPeer(rnd *rand.Rand) (Member, bool) {
	slot := rnd.IntN(nearPeers)
	if p, ok := m.find(m.near[slot]); ok && rnd.Float64() >= nearChange {
		return p, true
	}
	picked := m.sample(rnd, 1, m.near[slot])
	if len(picked) == 0 {
		return m.find(m.near[slot])
	}
	m.near[slot] = picked[0].name
	return picked[0], true
}
