package gdenvelope_test

import (
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdenvelope"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

func fleet(t testing.TB, digit string) gdkey.FleetKey {
	f, err := gdkey.Parse(strings.Repeat(digit, 64))
	require.NoError(t, err)
	return f
}

func sample() gdenvelope.Envelope {
	return gdenvelope.Envelope{
		Kind: gdenvelope.ToAgent, Version: gdconf.NewVersion(7, 9), Service: 3, Hops: 1,
		Caller:         netip.MustParseAddrPort("192.0.2.7:4433"),
		Balancer:       netip.MustParseAddrPort("[2001:db8::1]:7000"),
		ServiceAddress: netip.MustParseAddrPort("192.0.2.10:443"),
		Payload:        []byte("datagram"),
	}
}

func TestOpenReturnsSealedEnvelope(t *testing.T) {
	s, err := gdenvelope.NewSealer(fleet(t, "a"))
	require.NoError(t, err)
	o := gdenvelope.NewOpener(fleet(t, "a"))
	wire, err := s.Seal(nil, sample())
	require.NoError(t, err)
	got, err := o.Open(wire)
	require.NoError(t, err)
	require.Equal(t, sample(), got)
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	s, err := gdenvelope.NewSealer(fleet(t, "a"))
	require.NoError(t, err)
	wire, err := s.Seal(nil, sample())
	require.NoError(t, err)
	flipped := append([]byte(nil), wire...)
	flipped[40] ^= 1
	tests := []struct {
		name  string
		fleet string
		wire  []byte
		want  error
	}{
		{"other fleet key", "b", wire, gdenvelope.ErrForged},
		{"changed byte", "a", flipped, gdenvelope.ErrForged},
		{"truncated", "a", wire[:len(wire)-1], gdenvelope.ErrForged},
		{"too short", "a", wire[:20], gdenvelope.ErrTruncated},
		{"too long", "a", make([]byte, gdenvelope.MaxSize+1), gdenvelope.ErrOversized},
		{"other format", "a", make([]byte, 200), gdenvelope.ErrFormat},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := gdenvelope.NewOpener(fleet(t, tt.fleet))
			_, err := o.Open(tt.wire)
			require.ErrorIs(t, err, tt.want)
			require.Zero(t, o.Sessions())
		})
	}
}

// TestEachEnvelopeIsAcceptedOnce opens envelopes in a random order with repetitions.
func TestEachEnvelopeIsAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, err := gdkey.Parse(strings.Repeat("a", 64))
		require.NoError(t, err)
		s, err := gdenvelope.NewSealer(f)
		require.NoError(t, err)
		o := gdenvelope.NewOpener(f)
		var wires [][]byte
		for range 1500 {
			w, err := s.Seal(nil, sample())
			require.NoError(t, err)
			wires = append(wires, w)
		}
		order := rapid.SliceOfN(rapid.IntRange(0, len(wires)-1), 1, 400).Draw(t, "order")
		accepted := make([]int, len(wires))
		for _, i := range order {
			if _, err := o.Open(wires[i]); err == nil {
				accepted[i]++
			}
		}
		for i, n := range accepted {
			require.LessOrEqual(t, n, 1, "envelope %d", i)
		}
	})
}

func FuzzOpen(f *testing.F) {
	s, err := gdenvelope.NewSealer(fleet(f, "a"))
	require.NoError(f, err)
	wire, err := s.Seal(nil, sample())
	require.NoError(f, err)
	f.Add(wire)
	f.Add(wire[:40])
	o := gdenvelope.NewOpener(fleet(f, "b"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := o.Open(b)
		require.Error(t, err, "the opener has another fleet key")
	})
}

func BenchmarkSealOpen(b *testing.B) {
	s, err := gdenvelope.NewSealer(fleet(b, "a"))
	require.NoError(b, err)
	o := gdenvelope.NewOpener(fleet(b, "a"))
	e := sample()
	e.Payload = make([]byte, 1200)
	buf := make([]byte, 0, gdenvelope.MaxSize)
	b.ReportAllocs()
	for b.Loop() {
		wire, err := s.Seal(buf, e)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := o.Open(wire); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSession reports the memory that an opener uses for one session.
func BenchmarkSession(b *testing.B) {
	const senders = 4000
	for b.Loop() {
		o := gdenvelope.NewOpener(fleet(b, "a"))
		before := heap()
		for range senders {
			s, err := gdenvelope.NewSealer(fleet(b, "a"))
			require.NoError(b, err)
			wire, err := s.Seal(nil, sample())
			require.NoError(b, err)
			_, err = o.Open(wire)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(heap()-before)/senders, "bytes/sender")
		require.Equal(b, senders, o.Sessions())
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
