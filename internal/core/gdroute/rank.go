package gdroute

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// mix hashes a flow key with an upstream and a salt that separates uses.
func mix(key FlowKey, id gdconf.UpstreamID, salt uint32) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], uint64(key))
	binary.BigEndian.PutUint32(buf[8:], uint32(id))
	binary.BigEndian.PutUint32(buf[12:], salt)
	return xxhash.Sum64(buf[:])
}

const (
	rankSalt = 0
	rampSalt = 1
)

// unit maps a hash to the open interval (0, 1).
func unit(h uint64) float64 {
	const bits = 53
	return (float64(h>>(64-bits)) + 0.5) / (1 << bits)
}

// score is the upstream's place in the key's ranking; the highest goes first.
// Each upstream is first for a share of the keys that is proportional to its
// weight (weighted rendezvous hashing).
func score(key FlowKey, u *gdconf.Upstream) float64 {
	return -u.Weight() / math.Log(unit(mix(key, u.ID(), rankSalt)))
}

// beats orders two scores; the identifier decides between equal ones, so that
// every process has the same ranking.
func beats(s float64, id gdconf.UpstreamID, t float64, other gdconf.UpstreamID) bool {
	if s != t {
		return s > t
	}
	return id < other
}

// first returns the upstream that is first in the key's ranking among those that
// allowed accepts.
func first(s *gdconf.Service, key FlowKey, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	var best *gdconf.Upstream
	var bestScore float64
	for _, u := range s.Upstreams() {
		if !allowed(u) {
			continue
		}
		sc := score(key, u)
		if best == nil || beats(sc, u.ID(), bestScore, best.ID()) {
			best, bestScore = u, sc
		}
	}
	return best
}

// after returns the upstream that follows self in the key's ranking among those
// that allowed accepts, or nil at the ranking's end.
func after(s *gdconf.Service, key FlowKey, self *gdconf.Upstream, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	own := score(key, self)
	behind := func(u *gdconf.Upstream) bool {
		return u.ID() != self.ID() && !beats(score(key, u), u.ID(), own, self.ID()) && allowed(u)
	}
	return first(s, key, behind)
}

// follower returns the upstream with the next higher identifier among those that
// allowed accepts; the lowest one follows the highest. It is nil when there is
// no other. Unlike the ranking, this order is the same under all weights, and a
// packet that goes along it never jumps over an upstream that the agents on its
// way know. So it reaches each of them even if the agents' views differ.
func follower(s *gdconf.Service, self gdconf.UpstreamID, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	var next *gdconf.Upstream
	// distance wraps around for the identifiers below self.
	distance := func(u *gdconf.Upstream) uint32 { return uint32(u.ID() - self) }
	for _, u := range s.Upstreams() {
		if u.ID() == self || !allowed(u) {
			continue
		}
		if next == nil || distance(u) < distance(next) {
			next = u
		}
	}
	return next
}

// Rank returns the service's upstreams in the key's ranking. It is for reports
// and benches; the cores do not need the whole order.
func Rank(s *gdconf.Service, key FlowKey) []*gdconf.Upstream {
	out := make([]*gdconf.Upstream, 0, len(s.Upstreams()))
	all := func(*gdconf.Upstream) bool { return true }
	for u := first(s, key, all); u != nil; u = after(s, key, u, all) {
		out = append(out, u)
	}
	return out
}
