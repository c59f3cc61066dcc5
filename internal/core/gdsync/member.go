package gdsync

import (
	"math/rand/v2"
	"slices"
	"strings"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// membership is the list of the processes of the fleet: the agents of the
// configuration, the platform's hosts, the peers from the settings, and the
// peers that sent a digest. The list may be out of date and include processes
// that no longer exist. It may include this process, which is never selected as
// a peer.
type membership struct {
	self   string
	seeds  []Member
	hosts  []Member
	agents []Member
	// learned are the peers that sent a digest and are in no other list.
	learned []Member
	// list is the union, sorted by name. It shares the slice of hosts if hosts
	// already contains all others.
	list []Member
	// digestPeers are the names of the peers that get digests. They change slowly,
	// so that connections are reused.
	digestPeers [digestPeerCount]string
}

const (
	// maxLearned bounds the peers that are known from their digests only.
	maxLearned = 16
	// digestPeerCount is the number of peers that get digests.
	digestPeerCount = 8
	// digestPeerChangeProbability is the probability that a digest replaces one of
	// them.
	digestPeerChangeProbability = 1.0 / 16
)

func compareNames(a, b Member) int { return strings.Compare(a.name, b.name) }

// setHosts replaces the platform's list of hosts.
func (m *membership) setHosts(hosts []Member) {
	if !slices.IsSortedFunc(hosts, compareNames) {
		hosts = slices.SortedFunc(slices.Values(hosts), compareNames)
	}
	m.hosts = hosts
	m.merge()
}

// setView replaces the agents with those of the active configuration.
func (m *membership) setView(v *gdconf.View) {
	agents := make([]Member, 0, v.UpstreamCount())
	for _, s := range v.Deployment().Services {
		for _, u := range s.Upstreams {
			agents = append(agents, NewMember(u.Name, u.Agent))
		}
	}
	slices.SortFunc(agents, compareNames)
	if slices.Equal(agents, m.agents) {
		return
	}
	m.agents = agents
	m.merge()
}

// merge rebuilds the union. If sources disagree about the address of a name,
// the configuration takes precedence over the platform's list, and that list
// over the settings.
func (m *membership) merge() {
	m.list = m.hosts
	for _, p := range m.agents {
		if i, ok := m.indexOf(p.name); !ok || m.list[i] != p {
			m.list = m.union()
			return
		}
	}
	for _, p := range slices.Concat(m.seeds, m.learned) {
		if _, ok := m.indexOf(p.name); !ok {
			m.list = m.union()
			return
		}
	}
}

func (m *membership) union() []Member {
	all := slices.Concat(m.agents, m.hosts, m.seeds, m.learned)
	slices.SortStableFunc(all, compareNames)
	same := func(a, b Member) bool { return a.name == b.name }
	return slices.CompactFunc(all, same)
}

// learn adds a peer that is in no list. If there are too many learned peers,
// the oldest one is dropped.
func (m *membership) learn(p Member) {
	if _, ok := m.indexOf(p.name); ok || p.address == "" {
		return
	}
	m.learned = append(m.learned, p)
	if len(m.learned) > maxLearned {
		m.learned = m.learned[1:]
	}
	m.merge()
}

// indexOf returns the index of the member with the given name in the list, or where it
// would be inserted, and whether the list contains it.
func (m *membership) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(m.list, name, func(p Member, s string) int {
		return strings.Compare(p.name, s)
	})
}

// size returns the number of processes, including this one.
func (m *membership) size() int {
	if _, ok := m.indexOf(m.self); ok {
		return len(m.list)
	}
	return len(m.list) + 1
}

// find returns the member with the given name, or else with the given control
// address.
func (m *membership) find(peer string) (Member, bool) {
	i, ok := m.indexOf(peer)
	if !ok {
		i = slices.IndexFunc(m.list, func(p Member) bool { return p.address == peer })
	}
	if i < 0 || m.list[i].name == m.self {
		return Member{}, false
	}
	return m.list[i], true
}

// sample returns up to n distinct random members, excluding this process and
// the one with the given name.
func (m *membership) sample(rnd *rand.Rand, n int, except string) []Member {
	var excluded []int
	for _, name := range []string{m.self, except} {
		if i, ok := m.indexOf(name); ok && !slices.Contains(excluded, i) {
			excluded = append(excluded, i)
		}
	}
	var picked []Member
	for len(picked) < n && len(excluded) < len(m.list) {
		i := rnd.IntN(len(m.list))
		if slices.Contains(excluded, i) {
			continue
		}
		excluded = append(excluded, i)
		picked = append(picked, m.list[i])
	}
	return picked
}

// digestPeer returns a random one of the few peers that get digests.
func (m *membership) digestPeer(rnd *rand.Rand) (Member, bool) {
	slot := rnd.IntN(digestPeerCount)
	if p, ok := m.find(m.digestPeers[slot]); ok && rnd.Float64() >= digestPeerChangeProbability {
		return p, true
	}
	picked := m.sample(rnd, 1, m.digestPeers[slot])
	if len(picked) == 0 {
		return m.find(m.digestPeers[slot])
	}
	m.digestPeers[slot] = picked[0].name
	return picked[0], true
}
