package gdselector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

var start = time.Unix(1e9, 0)

func newSelector(peers ...gdconf.UpstreamID) *gdselector.Selector {
	s := &gdselector.Selector{Rand: rand.New(rand.NewPCG(1, 1))}
	s.SetPeers(peers)
	return s
}

func TestOnlyFreshPeersWithHeadroomAreSelected(t *testing.T) {
	tests := []struct {
		name  string
		load  gdselector.Load
		age   time.Duration
		hops  int
		move  bool
		relay bool
	}{
		{"headroom", gdselector.NewLoad(1, 0, 2, 0), 0, 0, true, true},
		{"maximum age", gdselector.NewLoad(1, 0, 2, 0), gdselector.DefaultMaxLoadAge, 0, true, true},
		{"stale", gdselector.NewLoad(1, 0, 2, 0), gdselector.DefaultMaxLoadAge + 1, 0, false, false},
		{"full", gdselector.NewLoad(2, 0, 2, 0), 0, 0, true, false},
		{"a short queue", gdselector.NewLoad(2, 1, 2, 0), 0, 0, true, false},
		{"a long queue", gdselector.NewLoad(2, 2, 2, 0), 0, 0, false, false},
		{"accepts no requests", gdselector.NewLoad(0, 0, 0, 0), 0, 0, false, false},
		{"hops used up", gdselector.NewLoad(1, 0, 2, 0), 0, gdselector.DefaultMaxHops, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSelector(7)
			s.ObservePeerLoad(start, 7, tc.load)
			for range 20 {
				s.ObserveStart(start)
			}
			_, ok := s.Relay(start.Add(tc.age), tc.hops, 1)
			require.Equal(t, tc.relay, ok)
			s.ObservePeerLoad(start, 7, tc.load)
			_, ok = s.Move(start.Add(tc.age), tc.hops)
			require.Equal(t, tc.move, ok)
		})
	}
}

func TestMoveChargesThePeerUntilItReportsAgain(t *testing.T) {
	s := newSelector(7, 8)
	s.ObservePeerLoad(start, 7, gdselector.NewLoad(0, 0, 3, 0))
	s.ObservePeerLoad(start, 8, gdselector.NewLoad(1, 0, 3, 0))
	moved := map[gdconf.UpstreamID]int{}
	for range 20 {
		if id, ok := s.Move(start, 0); ok {
			moved[id]++
		}
	}
	require.Equal(t, map[gdconf.UpstreamID]int{7: 6, 8: 5}, moved)
	s.SetPeers([]gdconf.UpstreamID{8, 9})
	s.ObservePeerLoad(start, 8, gdselector.NewLoad(2, 0, 3, 0))
	id, ok := s.Move(start, 0)
	require.True(t, ok)
	require.EqualValues(t, 8, id)
}

func TestRelayPrefersTheLessLoadedOfTwo(t *testing.T) {
	s := newSelector(7, 8)
	s.ObservePeerLoad(start, 7, gdselector.NewLoad(1, 0, 2, 0))
	s.ObservePeerLoad(start, 8, gdselector.NewLoad(1, 0, 3, 0))
	for range 10 {
		s.ObserveStart(start)
	}
	// After 30 started requests in total, each of the three agents may relay one.
	s.ObservePeerLoad(start, 7, gdselector.NewLoad(1, 0, 2, 10))
	s.ObservePeerLoad(start, 8, gdselector.NewLoad(1, 0, 3, 9))
	_, ok := s.Relay(start, 0, 1)
	require.False(t, ok)
	s.ObservePeerLoad(start, 8, gdselector.NewLoad(1, 0, 3, 10))
	_, ok = s.Relay(start, 0, 2)
	require.False(t, ok, "the last relay is reserved for priority 1")
	id, ok := s.Relay(start, 0, 1)
	require.True(t, ok)
	require.EqualValues(t, 8, id)
	_, ok = s.Relay(start, 0, 1)
	require.False(t, ok, "the share of 30 started requests is one relay")
}

func TestBudgetWithoutWorkHasAFloor(t *testing.T) {
	s := newSelector(7)
	relayed := 0
	for d := time.Duration(0); d < 100*time.Second; d += time.Second {
		s.ObservePeerLoad(start.Add(d), 7, gdselector.NewLoad(0, 0, 3, 0))
		if _, ok := s.Relay(start.Add(d), 0, 1); ok {
			relayed++
		}
	}
	require.InDelta(t, 10, relayed, 1)
}

// TestReleasedSlotIsAvailable moves requests one after the other to a peer with little
// headroom between two of its reports.
func TestReleasedSlotIsAvailable(t *testing.T) {
	s := newSelector(7)
	s.ObservePeerLoad(start, 7, gdselector.NewLoad(0, 0, 1, 0))
	for range 50 {
		id, ok := s.Move(start, 0)
		require.True(t, ok)
		s.ReleaseSlot(id)
	}
	s.ReleaseSlot(7)
	s.ReleaseSlot(9)
	_, first := s.Move(start, 0)
	_, second := s.Move(start, 0)
	_, third := s.Move(start, 0)
	require.Equal(t, []bool{true, true, false}, []bool{first, second, third}, "the load does not fall below the reported one")
}
