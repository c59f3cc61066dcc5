package gdonce

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// membership knows the agents of the service.
type membership struct {
	current []member
}

type member struct {
	id     gdconf.UpstreamID
	weight float64
}

// set takes the service's upstreams that get new work.
func (m *membership) set(_ time.Time, s *gdconf.Service) {
	m.current = nil
	for _, u := range s.Upstreams() {
		if u.TakesNew() {
			m.current = append(m.current, member{u.ID(), u.Weight()})
		}
	}
}

func (m *membership) reachable(id gdconf.UpstreamID) bool {
	for _, p := range m.current {
		if p.id == id {
			return true
		}
	}
	return false
}

// home returns the first agent of the key in weighted rendezvous order, or zero
// when there is none.
func (m *membership) home(key ident) gdconf.UpstreamID {
	var best gdconf.UpstreamID
	bestScore := math.Inf(-1)
	for _, p := range m.current {
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
