package gdhop_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/wire/gdhop"
)

var status = gdguard.UpstreamStatus{
	Revision: 1 << 40, AcceptsNew: true, ViewAge: 300 * time.Millisecond, Slots: 3, ColdFlowsPerSecond: 700, ColdLeft: 1500 * time.Millisecond, StartUnixMilli: 1 << 41, ColdFor: 2 * time.Second,
}

var key = gdflow.NewKey(gdflow.AddressFrom([4]byte{100, 64, 0, 7}, 40001), gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443))

func TestMessagesRoundTrip(t *testing.T) {
	packet := []byte("packet")
	opens := gdguard.Header{
		Service: 77, Forced: true, Urgent: true, Status: status, Origin: 513,
		Class: gdguard.RouteClass{Objective: 250 * time.Millisecond, Timeout: 2500 * time.Millisecond, Priority: 1, Idempotent: true},
	}
	data := gdguard.Header{Service: 77, Confirm: true, Exact: true}
	tests := []struct {
		name string
		b    []byte
		want gdhop.Message
	}{
		{"opening", append(gdhop.AppendForward(nil, opens, true), packet...), gdhop.Message{Type: gdhop.Forward, Header: opens, Packet: packet}},
		{"data", append(gdhop.AppendForward(nil, data, false), packet...), gdhop.Message{Type: gdhop.Forward, Header: data, Packet: packet}},
		{"status", gdhop.AppendStatus(nil, 77, status), gdhop.Message{
			Type: gdhop.Status, Header: gdguard.Header{Service: 77, Status: status}, Packet: []byte{},
		}},
		{"return", append(gdhop.AppendReturn(nil, gdguard.Busy, 9, 30*time.Millisecond, 42), packet...), gdhop.Message{
			Type: gdhop.Return, Reason: gdguard.Busy, Load: 9, Wait: 30 * time.Millisecond, Revision: 42, Packet: packet,
		}},
		{"query", gdhop.AppendQuery(nil, 77, status, []gdflow.Key{key, key}), gdhop.Message{
			Type: gdhop.Query, Header: gdguard.Header{Service: 77, Status: status, Exact: true}, Keys: []gdflow.Key{key, key},
		}},
		{"query reply", gdhop.AppendHolding(gdhop.AppendHolding(gdhop.AppendQueryReply(nil, 42), key, gdguard.Absent), key, gdguard.Unsure), gdhop.Message{
			Type: gdhop.QueryReply, Revision: 42, Keys: []gdflow.Key{key, key}, Holdings: []gdguard.Holding{gdguard.Absent, gdguard.Unsure},
		}},
		{"held", gdhop.AppendFlowNotice(nil, gdhop.Held, key, 70000, 12*time.Millisecond), gdhop.Message{
			Type: gdhop.Held, Key: key, Load: 65535, Wait: 12 * time.Millisecond,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m, err := gdhop.Parse(tt.b)
			require.NoError(t, err)
			require.Equal(t, tt.want, m)
		})
	}
	require.LessOrEqual(t, len(gdhop.AppendForward(nil, opens, true)), gdhop.MaxOverhead)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	tests := []struct {
		name, want string
		b          []byte
	}{
		{"empty", "too short for a type", nil},
		{"other version", "version 9, want 3", []byte{9, 1, 0, 0}},
		{"unknown type", "unknown type 99", []byte{3, 99}},
		{"short forward", "shorter than 8", []byte{3, 1, 0}},
		{"short status", "shorter than 28", gdhop.AppendStatus(nil, 1, status)[:12]},
		{"short class", "shorter than 12", gdhop.AppendForward(nil, gdguard.Header{Status: status}, true)[:40]},
		{"status with a packet", "carries a packet", append(gdhop.AppendStatus(nil, 1, status), 1)},
		{"unknown reason", "unknown reason 200", append([]byte{3, 3, 200}, make([]byte, 20)...)},
		{"short query", "shorter than 36", []byte{3, 6, 0}},
		{"truncated query", "53 bytes don't match a count of 2 flows", gdhop.AppendQuery(nil, 1, status, []gdflow.Key{key, key})[:53]},
		{"truncated query reply", "invalid size of 22 bytes", gdhop.AppendHolding(gdhop.AppendQueryReply(nil, 1), key, gdguard.Absent)[:22]},
		{"unknown holding", "unknown holding 9", gdhop.AppendHolding(gdhop.AppendQueryReply(nil, 1), key, 9)},
		{"long notice", "flow notice: 19 bytes", append(gdhop.AppendFlowNotice(nil, gdhop.Held, key, 1, 0), 0)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := gdhop.Parse(tt.b)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(append(gdhop.AppendForward(nil, gdguard.Header{Status: status}, true), 1, 2, 3))
	f.Add(gdhop.AppendStatus(nil, 7, status))
	f.Add(append(gdhop.AppendReturn(nil, gdguard.Busy, 9, 30*time.Millisecond, 42), 1))
	f.Add(gdhop.AppendFlowNotice(nil, gdhop.Accepted, key, 3, 0))
	f.Add(gdhop.AppendQuery(nil, 7, status, []gdflow.Key{key}))
	f.Add(gdhop.AppendHolding(gdhop.AppendQueryReply(nil, 7), key, gdguard.Present))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := gdhop.Parse(b)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(m.Packet), len(b))
	})
}

// TestViewAge: an age is never understated, and one that is not told stays unknown.
func TestViewAge(t *testing.T) {
	for _, tt := range []struct{ age, want time.Duration }{
		{0, 0},
		{-time.Second, 0},
		{1, 100 * time.Millisecond},
		{1400 * time.Millisecond, 1400 * time.Millisecond},
		{1401 * time.Millisecond, time.Hour},
		{time.Minute, time.Hour},
	} {
		s := status
		s.ViewAge = tt.age
		m, err := gdhop.Parse(gdhop.AppendStatus(nil, 77, s))
		require.NoError(t, err)
		require.Equal(t, tt.want, m.Header.Status.ViewAge)
		require.True(t, m.Header.Status.AcceptsNew)
	}
}

// TestMessagesOfOlderBuilds: the bytes that build 84ce1c3 writes are read as before. This build's
// differ from them in one byte, which that build ignores.
func TestMessagesOfOlderBuilds(t *testing.T) {
	const at = 3
	h := gdguard.Header{Service: 77, Confirm: true, Exact: true}
	for name, b := range map[string][]byte{
		"forward": append(gdhop.AppendForward(nil, h, false), "packet"...),
		"query":   gdhop.AppendQuery(nil, 77, status, []gdflow.Key{key}),
	} {
		t.Run(name, func(t *testing.T) {
			m, err := gdhop.Parse(b)
			require.NoError(t, err)
			require.True(t, m.Header.Exact)
			require.Equal(t, byte(1), b[at])
			old := append([]byte(nil), b...)
			old[at] = 0
			m.Header.Exact = false
			got, err := gdhop.Parse(old)
			require.NoError(t, err)
			require.Equal(t, m, got)
			for _, later := range []byte{2, 255} { // flags that this build doesn't know
				old[at] = later
				_, err = gdhop.Parse(old)
				require.NoError(t, err)
			}
		})
	}
}
