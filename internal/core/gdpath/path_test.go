package gdpath_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdpath"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	caller = addr(1)
	first  = addr(100)
	second = addr(101)
	third  = addr(102)
)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 443)
}

func table(seed uint64, balancers ...netip.AddrPort) *gdpath.Table {
	t := &gdpath.Table{MaxCallers: 8, Rand: rand.New(rand.NewPCG(seed, 1))}
	for i, b := range balancers {
		t.Received(start, addr(10+i), b)
	}
	t.Received(start, caller, first)
	return t
}

// sendUnanswered sends every 100 ms without an answer and returns the selected balancers.
func sendUnanswered(t *testing.T, tab *gdpath.Table, from time.Time, sends int) []netip.AddrPort {
	var used []netip.AddrPort
	for i := range sends {
		via, ok := tab.PickBalancer(from.Add(time.Duration(i)*100*time.Millisecond), caller)
		require.True(t, ok)
		used = append(used, via)
	}
	return used
}

func TestPathChangesAfterSilence(t *testing.T) {
	tab := table(1, second)
	used := sendUnanswered(t, tab, start, 4)
	require.Equal(t, []netip.AddrPort{first, first, first, second}, used)
	require.EqualValues(t, 1, tab.Changes())
}

func TestAnsweredPathStays(t *testing.T) {
	tab := table(1, second)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		via, _ := tab.PickBalancer(now, caller)
		require.Equal(t, first, via)
		tab.Received(now, caller, first)
	}
	require.Zero(t, tab.Changes())
}

func TestOneLostPacketOnIdleFlowChangesNothing(t *testing.T) {
	tab := table(1, second)
	require.Equal(t, []netip.AddrPort{first}, sendUnanswered(t, tab, start, 1))
	require.Equal(t, []netip.AddrPort{first, first}, sendUnanswered(t, tab, start.Add(30*time.Second), 2))
	require.Zero(t, tab.Changes())
}

func TestLastReceivedPacketDecidesThePath(t *testing.T) {
	tab := table(1, second)
	tab.Received(start, caller, third)
	require.Equal(t, []netip.AddrPort{third}, sendUnanswered(t, tab, start, 1))
}

func TestIdleBalancersAreNotUsed(t *testing.T) {
	tab := table(1, second)
	late := start.Add(2 * time.Minute)
	tab.Received(late, caller, first)
	for _, via := range sendUnanswered(t, tab, late, 20) {
		require.Equal(t, first, via)
	}
}

func TestPathIsKeptWithoutAnotherBalancer(t *testing.T) {
	tab := table(1)
	for _, via := range sendUnanswered(t, tab, start, 20) {
		require.Equal(t, first, via)
	}
	require.Zero(t, tab.Changes())
}

func TestTableIsBounded(t *testing.T) {
	tab := table(1)
	for i := range 1000 {
		tab.Received(start, addr(1000+i), first)
	}
	require.Equal(t, 8, tab.Callers())
	_, ok := tab.PickBalancer(start, caller)
	require.False(t, ok, "the least recently used caller is evicted")
	_, ok = tab.PickBalancer(start, addr(1999))
	require.True(t, ok)
}

// TestSameSeedSamePaths checks that the selection depends only on the seed, and that
// every recently used balancer is tried if sends remain unanswered for long enough.
func TestSameSeedSamePaths(t *testing.T) {
	for seed := range uint64(20) {
		one := sendUnanswered(t, table(seed, second, third), start, 60)
		require.Equal(t, one, sendUnanswered(t, table(seed, second, third), start, 60))
		require.Contains(t, one, second)
		require.Contains(t, one, third)
	}
}
