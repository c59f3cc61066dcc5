// Package gdbackend chooses among the services of a route by weight.
//
// The choice is weighted rendezvous hashing: each service has a score from the hash of
// the flow and of its name, scaled by its weight. All hosts with the same weights choose
// alike, a change of one weight moves flows only to or from that service, and the order of
// the scores says which service is next if the first one can't serve the flow.
//
// # Usage
//
//	shares := []gdbackend.Share{{Service: "booking", Weight: 9}, {Service: "gallery", Weight: 1}}
//	service := gdbackend.Pick(shares, key.Hash())
//	for _, service := range gdbackend.Order(shares, key.Hash()) {
//		...
//	}
package gdbackend

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Share is the share of a route's flows that a service gets, relative to the weights of
// the others.
type Share struct {
	Service string
	Weight  float64
}

// ValidWeight reports whether the weight is a finite number that is not negative. Others
// count as 0.
func ValidWeight(w float64) bool { return w >= 0 && !math.IsInf(w, 0) }

// weight returns the weight that counts.
func (s Share) weight() float64 {
	if !ValidWeight(s.Weight) {
		return 0
	}
	return s.Weight
}

// HasWeight reports whether any of the services has weight. If none has, the shares are
// even.
func HasWeight(shares []Share) bool {
	return slices.ContainsFunc(shares, func(s Share) bool { return s.weight() > 0 })
}

// Pick returns the service for a flow with the hash, or "" if there are none.
func Pick(shares []Share, hash uint64) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	even := !HasWeight(shares)
	var first ranked
	for _, s := range shares {
		if r, ok := rank(s, hash, even); ok && (first.service == "" || compare(r, first) < 0) {
			first = r
		}
	}
	return first.service
}

// Order returns the services that may get the flow, that of Pick first. Services without
// weight are left out while another one has weight.
func Order(shares []Share, hash uint64) []string {
	even := !HasWeight(shares)
	order := make([]ranked, 0, len(shares))
	for _, s := range shares {
		if r, ok := rank(s, hash, even); ok {
			order = append(order, r)
		}
	}
	slices.SortFunc(order, compare)
	names := make([]string, len(order))
	for i, r := range order {
		names[i] = r.service
	}
	return names
}

// ranked is a service and its score, the lowest of which ranks first.
type ranked struct {
	service string
	score   float64
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.service, b.service))
}

// rank returns the service with its score: the logarithm of an exponentially distributed
// number whose rate is the weight, so that the lowest is that of a service with a
// probability in proportion to its weight. It reports false for one without weight.
func rank(s Share, hash uint64, even bool) (ranked, bool) {
	w := s.weight()
	if even {
		w = 1
	}
	if w == 0 {
		return ranked{}, false
	}
	const bits = 53 // of the fraction of a float64
	u := (float64(mix(hash^xxhash.Sum64String(s.Service))>>(64-bits)) + 0.5) / (1 << bits)
	return ranked{service: s.Service, score: math.Log(-math.Log(u)) - math.Log(w)}, true
}

// mix mixes the bits of a number (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
