package gdbacklog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdbacklog"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func packet(size int) gdflow.Packet {
	return gdflow.Packet{Kind: gdflow.Data, Size: size}
}

// TestOrder: by priority, then by share, then by the end of the bound, then by arrival.
func TestOrder(t *testing.T) {
	b := &gdbacklog.Backlog[int]{MaxPackets: 10, MaxBytes: 1000}
	for i, o := range []gdbacklog.Order{
		{Priority: 1, Due: start},
		{Share: 1, Due: start.Add(3)},
		{Due: start.Add(2)},
		{Due: start.Add(1)},
		{Due: start.Add(2)},
	} {
		b.Keep(i, o, packet(1))
	}
	for priority, want := range map[uint8]int{0: 4, 1: 5} {
		n := 0
		for range b.UpTo(priority) {
			n++
		}
		require.Equal(t, want, n)
	}
	require.Equal(t, 5, b.Len())
	require.Equal(t, start, b.NextDue())
	require.Equal(t, 0, b.Due(start).Value)
	b.Expedite(b.Due(start)) // it keeps its place in the order
	var got []int
	for r := b.First(); r != nil; r = b.First() {
		got = append(got, r.Value)
		b.Remove(r)
		b.Remove(r)
	}
	require.Equal(t, []int{3, 2, 4, 1, 0}, got)
	require.Zero(t, b.NextDue())
	require.Zero(t, b.Packets())
}

// TestPostpone: more requests are kept than can be in time. Those that can go first, in order;
// of the others, the newest goes first.
func TestPostpone(t *testing.T) {
	b := &gdbacklog.Backlog[int]{MaxPackets: 10, MaxBytes: 1000}
	for i, o := range []gdbacklog.Order{
		{Priority: 1, KeptAt: start, Latest: start.Add(4), Due: start.Add(10)},
		{Priority: 1, KeptAt: start.Add(1), Latest: start.Add(5), Due: start.Add(11)},
		{Priority: 1, KeptAt: start.Add(2), Latest: start.Add(6), Due: start.Add(12)},
		{Priority: 1, KeptAt: start.Add(3), Latest: start.Add(7), Due: start.Add(13)},
		{Priority: 2, KeptAt: start.Add(3), Due: start.Add(1)},
	} {
		b.Keep(i, o, packet(1))
	}
	b.Postpone(start.Add(4))
	require.Equal(t, 0, b.First().Value, "it can just be in time")
	b.Postpone(start.Add(6))
	b.Postpone(start.Add(6))
	require.Equal(t, 5, b.Len())
	require.Equal(t, 4, b.AheadOf(gdbacklog.Order{Priority: 2, Due: start}))
	var got []int
	for r := b.First(); r != nil; r = b.First() {
		got = append(got, r.Value)
		b.Remove(r)
	}
	require.Equal(t, []int{2, 3, 1, 0, 4}, got)
}

// TestLimits: packets and bytes are limited, and removed requests make room.
func TestLimits(t *testing.T) {
	b := &gdbacklog.Backlog[int]{MaxPackets: 3, MaxBytes: 100}
	r := b.Keep(0, gdbacklog.Order{}, packet(60))
	require.True(t, b.HasRoom(40))
	require.False(t, b.HasRoom(41))
	b.Append(r, packet(10))
	b.Append(r, packet(10))
	require.False(t, b.HasRoom(0))
	require.True(t, r.Has(packet(10)))
	require.False(t, r.Has(packet(11)))
	b.Remove(r)
	require.True(t, b.HasRoom(100))
}
