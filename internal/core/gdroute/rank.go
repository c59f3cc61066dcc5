package gdroute

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// hash hashes a flow key, an upstream and a salt. Each use has a salt of its own, so
// that its hashes are independent of the others.
func hash(key FlowKey, id gdconf.UpstreamID, salt uint32) uint64 {
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

// unitInterval maps a hash to the open interval (0, 1).
func unitInterval(h uint64) float64 {
	const bits = 53
	return (float64(h>>(64-bits)) + 0.5) / (1 << bits)
}

// score returns the upstream's score for the key. The ranking is in descending order
// of scores. Each upstream ranks first for a share of the keys that is proportional
// to its weight (weighted rendezvous hashing).
func score(key FlowKey, u *gdconf.Upstream) float64 {
	return -u.Weight() / math.Log(unitInterval(hash(key, u.ID(), rankSalt)))
}

// ranksBefore reports whether the score s ranks before t. The lower identifier breaks
// ties, so that every process computes the same ranking.
func ranksBefore(s float64, id gdconf.UpstreamID, t float64, other gdconf.UpstreamID) bool {
	if s != t {
		return s > t
	}
	return id < other
}

// firstInRanking returns the first upstream in the key's ranking for which allowed
// returns true, or nil.
func firstInRanking(s *gdconf.Service, key FlowKey, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	var best *gdconf.Upstream
	var bestScore float64
	for _, u := range s.Upstreams() {
		if !allowed(u) {
			continue
		}
		sc := score(key, u)
		if best == nil || ranksBefore(sc, u.ID(), bestScore, best.ID()) {
			best, bestScore = u, sc
		}
	}
	return best
}

// nextInRanking returns the first upstream after self in the key's ranking for which
// allowed returns true, or nil at the end of the ranking.
func nextInRanking(s *gdconf.Service, key FlowKey, self *gdconf.Upstream, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	own := score(key, self)
	after := func(u *gdconf.Upstream) bool {
		return u.ID() != self.ID() && !ranksBefore(score(key, u), u.ID(), own, self.ID()) && allowed(u)
	}
	return firstInRanking(s, key, after)
}

// nextByID returns the upstream with the next higher identifier for which allowed
// returns true, wrapping around from the highest to the lowest, or nil if there is
// no other. Unlike the ranking, this order does not depend on weights, and a packet
// that follows it never skips an upstream that the agents on its path know.
// Therefore it reaches every upstream even if the agents' views differ.
func nextByID(s *gdconf.Service, self gdconf.UpstreamID, allowed func(*gdconf.Upstream) bool) *gdconf.Upstream {
	var next *gdconf.Upstream
	// The subtraction wraps around for identifiers below self.
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

// Rank returns the service's upstreams in the order of the key's ranking. It is
// intended for reports and benchmarks; routing does not need the whole order.
func Rank(s *gdconf.Service, key FlowKey) []*gdconf.Upstream {
	out := make([]*gdconf.Upstream, 0, len(s.Upstreams()))
	all := func(*gdconf.Upstream) bool { return true }
	for u := firstInRanking(s, key, all); u != nil; u = nextInRanking(s, key, u, all) {
		out = append(out, u)
	}
	return out
}
