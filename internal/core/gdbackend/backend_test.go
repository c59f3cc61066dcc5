package gdbackend_test

import (
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdbackend"
)

const flows = 10000

// hash returns the hash of a flow.
func hash(i int) uint64 { return xxhash.Sum64([]byte{byte(i), byte(i >> 8), 7}) }

func shares(weights ...float64) []gdbackend.Share {
	out := make([]gdbackend.Share, len(weights))
	for i, w := range weights {
		out[i] = gdbackend.Share{Service: string(rune('a' + i)), Weight: w}
	}
	return out
}

// picked returns the part of the flows that each service gets.
func picked(s []gdbackend.Share) map[string]float64 {
	got := make(map[string]float64)
	for i := range flows {
		got[gdbackend.Pick(s, hash(i))] += 1.0 / flows
	}
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	const tolerance = 0.02
	tests := map[string]struct{ weights, want []float64 }{
		"even":             {[]float64{1, 1}, []float64{0.5, 0.5}},
		"canary":           {[]float64{90, 10}, []float64{0.9, 0.1}},
		"four":             {[]float64{4, 3, 2, 1}, []float64{0.4, 0.3, 0.2, 0.1}},
		"all 0":            {[]float64{0, 0}, []float64{0.5, 0.5}},
		"all invalid":      {[]float64{-1, math.NaN(), math.Inf(1)}, []float64{1. / 3, 1. / 3, 1. / 3}},
		"extreme":          {[]float64{math.MaxFloat64, math.MaxFloat64, 5e-324}, []float64{0.5, 0.5, 0}},
		"0 beside weight":  {[]float64{0, 5, 5}, []float64{0, 0.5, 0.5}},
		"invalid are as 0": {[]float64{-3, math.NaN(), math.Inf(1), 2}, []float64{0, 0, 0, 1}},
		"one without":      {[]float64{0}, []float64{1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := shares(tt.weights...)
			got := picked(s)
			for i := range s {
				require.InDelta(t, tt.want[i], got[s[i].Service], tolerance, s[i].Service)
			}
		})
	}
	require.Empty(t, gdbackend.Pick(nil, 1))
	require.Empty(t, gdbackend.Order(nil, 1))
}

// TestChangeOfWeightsMovesFewFlows: a change moves flows to services whose weight rises
// relative to others', and no more than half a per cent of all beyond those that must move.
func TestChangeOfWeightsMovesFewFlows(t *testing.T) {
	const allowed = 0.005
	tests := map[string]struct {
		before, after []float64
		must          float64 // the part of the flows that the shares' change moves
	}{
		"canary rises":    {[]float64{90, 10}, []float64{80, 20}, 0.1},
		"same relation":   {[]float64{9, 1}, []float64{90, 10}, 0},
		"first of three":  {[]float64{2, 1, 1}, []float64{1, 1, 1}, 1. / 6},
		"one is drained":  {[]float64{1, 1, 1}, []float64{1, 0, 1}, 1. / 3},
		"one is added":    {[]float64{1, 1, 0}, []float64{1, 1, 1}, 1. / 3},
		"last takes over": {[]float64{1, 1, 2}, []float64{0, 0, 2}, 0.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			before, after := shares(tt.before...), shares(tt.after...)
			moved := 0
			for i := range flows {
				a, b := gdbackend.Pick(before, hash(i)), gdbackend.Pick(after, hash(i))
				if a != b {
					moved++
					from, to := a[0]-'a', b[0]-'a'
					require.Greater(t, tt.after[to]*tt.before[from], tt.before[to]*tt.after[from], "moved to a service that gains")
				}
			}
			require.InDelta(t, tt.must, float64(moved)/flows, 0.02)
			lost := 0.0
			for service, n := range picked(before) {
				lost += max(n-picked(after)[service], 0)
			}
			require.LessOrEqual(t, float64(moved)/flows, lost+allowed)
		})
	}
}

// TestOrderIsThatOfRemovals: the next service in the order is the one that is chosen if the
// first has no weight, and the order of the configuration does not matter.
func TestOrderIsThatOfRemovals(t *testing.T) {
	s := shares(5, 3, 1, 0)
	reversed := []gdbackend.Share{s[3], s[2], s[1], s[0]}
	for i := range flows {
		order := gdbackend.Order(s, hash(i))
		require.Len(t, order, 3, "the service without weight is left out")
		require.Equal(t, order, gdbackend.Order(reversed, hash(i)))
		require.Equal(t, order[0], gdbackend.Pick(s, hash(i)))
		left := append([]gdbackend.Share(nil), s...)
		left[order[0][0]-'a'].Weight = 0
		require.Equal(t, order[1], gdbackend.Pick(left, hash(i)))
	}
}
