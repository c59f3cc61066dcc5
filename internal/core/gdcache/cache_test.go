package gdcache_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdcache"
)

func TestUnusedEntriesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	var dropped []string
	m := gdcache.Cache[string, int]{MinTTL: 10 * time.Second, MaxPerGeneration: 100, OnEvict: func(_ time.Time, k string, _ int) { dropped = append(dropped, k) }}
	m.Put(now, "used", 1)
	m.Put(now, "unused", 2)
	for i := range 30 {
		_, ok := m.Get(now.Add(time.Duration(i)*time.Second), "used")
		require.True(t, ok, "second %d", i)
	}
	_, ok := m.Get(now.Add(30*time.Second), "unused")
	require.False(t, ok)
	require.Equal(t, []string{"unused"}, dropped)
	require.Equal(t, 1, m.Len())
}

func TestFullCacheKeepsTheNewest(t *testing.T) {
	now := time.Unix(1000, 0)
	m := gdcache.Cache[int, int]{MinTTL: time.Hour, MaxPerGeneration: 10}
	for i := range 1000 {
		m.Put(now, i, i)
		require.LessOrEqual(t, m.Len(), 20)
	}
	for i := 990; i < 1000; i++ {
		_, ok := m.Get(now, i)
		require.True(t, ok, "entry %d", i)
	}
	n := 0
	m.Each(func(int, int) bool { n++; return n < 5 })
	require.Equal(t, 5, n)
	m.Delete(999)
	_, ok := m.Get(now, 999)
	require.False(t, ok)
	m.Clear()
	require.Zero(t, m.Len())
}

// TestKeptEntriesStay: entries that Keep retains outlive MinTTL and a full cache, but no more than
// MaxPerGeneration of them.
func TestKeptEntriesStay(t *testing.T) {
	const limit = 10
	now := time.Unix(1000, 0)
	until := now.Add(time.Minute)
	evicted := make(map[int]bool)
	m := gdcache.Cache[int, bool]{
		MinTTL: 10 * time.Second, MaxPerGeneration: limit, OnEvict: func(_ time.Time, k int, _ bool) { evicted[k] = true },
		Keep: func(now time.Time, keep bool) bool { return keep && now.Before(until) },
	}
	for i := range 3 {
		m.Put(now, i, true)
	}
	for i := range 100 {
		m.Put(now, 10+i, false)
		require.LessOrEqual(t, m.Len(), 3*limit)
	}
	for s := range 50 {
		m.Put(now.Add(time.Duration(s)*time.Second), 1000, false)
	}
	for i := range 3 {
		_, ok := m.Get(now.Add(50*time.Second), i)
		require.True(t, ok)
		require.False(t, evicted[i])
	}
	for s := range 60 {
		m.Get(until.Add(time.Duration(s)*time.Second), 1000)
	}
	require.True(t, evicted[0] && evicted[1] && evicted[2])

	for i := range 100 {
		m.Put(now, 2000+i, true)
	}
	require.LessOrEqual(t, m.Len(), 3*limit)
}
