package gddecide

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// The ring keeps what a slice that is cut at the front keeps.
func TestRingKeepsLatest(t *testing.T) {
	for room := 1; room <= 5; room++ {
		r := NewRing[int](room)
		var all []int
		for v := range 17 {
			want := all[max(0, len(all)-room):]
			require.Equal(t, len(want), r.Len())
			require.EqualValues(t, len(all)-len(want), r.Overwritten())
			require.True(t, slices.Equal(want, slices.Collect(r.All())))
			r.Add(v)
			all = append(all, v)
		}
	}
}

func TestSelect(t *testing.T) {
	l := NewLog(8)
	l.Add(New(start, Placed, Flow(7)).At(1, 101).Because("rendezvous"))
	l.Add(New(start.Add(time.Second), Queued, Request(7, 1)).At(1, 101).Because("slots-busy"))
	l.Add(New(start.Add(2*time.Second), Placed, Flow(8)).At(2, 201))
	l.Add(New(start.Add(3*time.Second), Refused, Request(7, 1)).At(1, 101).Because("deadline"))
	for name, tt := range map[string]struct {
		query Query
		want  []Kind
	}{
		"all":      {Query{}, []Kind{Placed, Queued, Placed, Refused}},
		"flow":     {Query{Flow: 7}, []Kind{Placed, Queued, Refused}},
		"request":  {Query{Flow: 7, Request: 1}, []Kind{Queued, Refused}},
		"service":  {Query{Service: 2}, []Kind{Placed}},
		"upstream": {Query{Upstream: 101, Limit: 1}, []Kind{Refused}},
		"since":    {Query{Since: start.Add(2 * time.Second)}, []Kind{Placed, Refused}},
		"none":     {Query{Flow: 9}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []Kind
			for _, r := range l.Select(tt.query) {
				got = append(got, r.Kind())
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func TestRecordPrints(t *testing.T) {
	r := New(start, Refused, Request(0xbeef, 3)).At(1, 101).Because("deadline")
	require.Equal(t, "2026-12-01T09:00:00.000Z flow 000000000000beef request 3: refused, service 1, upstream 101, because deadline", r.String())
	data, err := json.Marshal(r)
	require.NoError(t, err)
	require.JSONEq(t, `{"time":"2026-12-01T09:00:00Z","kind":"refused","flow":"000000000000beef","request":3,"service":1,"upstream":101,"reason":"deadline"}`, string(data))
	require.Equal(t, "kind-99", Kind(99).String())
}

// Adding allocates nothing, and the default log stays below 1 MiB of the 64 MB
// that a process has for control.
func TestBoundMemory(t *testing.T) {
	l := NewLog(16)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		l.Add(New(start, Placed, Flow(7)).At(1, 101).Because("rendezvous"))
	}))
	require.LessOrEqual(t, DefaultRecords*int(unsafe.Sizeof(Record{})), 1<<20)
}

func BenchmarkAdd(b *testing.B) {
	l := NewLog(DefaultRecords)
	for b.Loop() {
		l.Add(New(start, Placed, Flow(7)).At(1, 101).Because("rendezvous"))
	}
}
