package gdshare_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdshare"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// load is a steady load in requests a second, by domain and caller of the domain.
type load [3][]int

func even(perCaller ...int) load { return uneven([3]int{20, 20, 20}, perCaller...) }

// uneven returns the load of domains with these numbers of callers.
func uneven(callers [3]int, perCaller ...int) load {
	var l load
	for d, n := range perCaller {
		l[d] = slices.Repeat([]int{n}, callers[d])
	}
	return l
}

func caller(domain, i int) gdshare.Caller { return gdshare.Caller{100, byte(64 + domain), 0, byte(i)} }

// play plays the load for a time and returns its end.
func play(u *gdshare.Usage, from time.Time, l load, d time.Duration) time.Time {
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		for domain, callers := range l {
			for i, perSecond := range callers {
				before, after := at*time.Duration(perSecond)/time.Second, (at+step)*time.Duration(perSecond)/time.Second
				for range after - before {
					u.Note(from.Add(at), caller(domain, i), uint16(domain+1))
				}
			}
		}
	}
	return from.Add(d)
}

// ranks returns the ranks of the first two callers of each domain.
func ranks(u *gdshare.Usage, now time.Time) [6]uint8 {
	var r [6]uint8
	for i := range r {
		r[i] = u.Rank(now, caller(i/2, i%2), uint16(i/2+1))
	}
	return r
}

func TestRank(t *testing.T) {
	greedy, sizes := even(2, 2, 2), [3]int{40, 8, 2}
	greedy[0][0] = 100
	tests := []struct {
		name          string
		before, after load
		want          [6]uint8
	}{
		{"as always", even(2, 2, 2), even(2, 2, 2), [6]uint8{}},
		{"domains that differ, as always", uneven(sizes, 2, 2, 2), uneven(sizes, 2, 2, 2), [6]uint8{}},
		{"a domain's callers at ten times", even(2, 2, 2), even(20, 2, 2), [6]uint8{1, 1}},
		{"the largest domain's callers at ten times", uneven(sizes, 2, 2, 2), uneven(sizes, 20, 2, 2), [6]uint8{1, 1}},
		{"all callers at six times", even(2, 2, 2), even(12, 12, 12), [6]uint8{1, 1, 1, 1, 1, 1}},
		{"one greedy caller", even(2, 2, 2), greedy, [6]uint8{1}},
		{"a domain that was quiet", even(0, 2, 2), even(2, 2, 2), [6]uint8{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var u gdshare.Usage
			now := play(&u, start, tt.before, 20*time.Second)
			for range 4 { // the burst lasts for eight seconds
				now = play(&u, now, tt.after, 2*time.Second)
				require.Equal(t, tt.want, ranks(&u, now))
			}
			now = play(&u, now, tt.before, 5*time.Second)
			require.Equal(t, [6]uint8{}, ranks(&u, now), "nothing is remembered")
		})
	}
}

// TestUsageIsSafe: a flood of callers and domains, and a clock that jumps.
func TestUsageIsSafe(t *testing.T) {
	var u gdshare.Usage
	require.Zero(t, u.Rank(start, caller(0, 0), 1), "nothing observed")
	for i := range 200_000 {
		now := start.Add(time.Duration(i) * time.Microsecond)
		u.Note(now, gdshare.Caller{byte(i >> 16), byte(i >> 8), byte(i)}, uint16(i))
		u.Note(now, caller(0, 0), 1)
	}
	now := start.Add(200 * time.Millisecond)
	require.Equal(t, gdshare.Above, u.Rank(now, caller(0, 0), 1), "the greedy caller among the flood")
	require.Zero(t, u.Rank(now, caller(1, 0), 2))
	for _, jump := range []time.Duration{-time.Hour, 24 * 365 * time.Hour} {
		now = now.Add(jump)
		u.Note(now, caller(1, 0), 2)
		require.Zero(t, u.Rank(now, caller(1, 0), 2))
	}
	require.Zero(t, u.Rank(now, caller(0, 0), 1), "forgotten")
	require.Zero(t, testing.AllocsPerRun(100, func() { u.Note(now, caller(1, 0), 2) }))
}
