package gdsync

import (
	"math/rand/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// membership is the list of the other processes: the agents of the
// configuration, the platform's hosts and the peers from the settings. It lags
// and may name processes that are gone.
type membership struct {
	hosts []Member
	list  []Member
	names map[string]int
	// near are the peers that get digests. They change slowly, so that their
	// connections are used again.
	near []string
}

const (
	// nearPeers is the number of peers that get digests.
	nearPeers = 8
	// nearChange is the probability that a digest replaces one of them.
	nearChange = 1.0 / 16
)

func (m *membership) set(self string, seeds, hosts []Member, v *gdconf.View) {
	m.hosts = hosts
	m.list = m.list[:0]
	m.names = map[string]int{self: -1}
	if v != nil {
		for _, s := range v.Deployment().Services {
			for _, u := range s.Upstreams {
				m.add(NewMember(u.Name, u.Agent))
			}
		}
	}
	for _, h := range hosts {
		m.add(h)
	}
	for _, s := range seeds {
		m.add(s)
	}
}

func (m *membership) add(p Member) {
	if _, ok := m.names[p.name]; ok {
		return
	}
	m.names[p.name] = len(m.list)
	m.list = append(m.list, p)
}

func (m *membership) find(name string) (Member, bool) {
	i, ok := m.names[name]
	if !ok || i < 0 {
		return Member{}, false
	}
	return m.list[i], true
}

// sample returns up to n different random members other than the one named.
func (m *membership) sample(rnd *rand.Rand, n int, except string) []Member {
	var picked []Member
	taken := map[int]bool{}
	if i, ok := m.names[except]; ok && i >= 0 {
		taken[i] = true
	}
	for len(picked) < n && len(taken) < len(m.list) {
		i := rnd.IntN(len(m.list))
		if taken[i] {
			continue
		}
		taken[i] = true
		picked = append(picked, m.list[i])
	}
	return picked
}

// nearPeer returns a random one of the few peers that get digests.
func (m *membership) nearPeer(rnd *rand.Rand) (Member, bool) {
	if len(m.list) == 0 {
		return Member{}, false
	}
	slot := rnd.IntN(nearPeers)
	for len(m.near) < nearPeers {
		m.near = append(m.near, m.list[rnd.IntN(len(m.list))].name)
	}
	p, ok := m.find(m.near[slot])
	if !ok || rnd.Float64() < nearChange {
		p = m.list[rnd.IntN(len(m.list))]
		m.near[slot] = p.name
	}
	return p, true
}
