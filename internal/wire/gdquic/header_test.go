package gdquic_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/wire/gdquic"
)

const shortLen = 17

// long builds a long header with the first byte, version and connection ID.
func long(first byte, version [4]byte, cid int) []byte {
	b := append([]byte{first}, version[:]...)
	b = append(b, byte(cid))
	return append(b, bytes.Repeat([]byte{7}, cid)...)
}

var (
	v1      = [4]byte{0, 0, 0, 1}
	unknown = [4]byte{0x1a, 0x2a, 0x3a, 0x4a}
)

func TestParse(t *testing.T) {
	tests := []struct {
		name    string
		in      []byte
		ok      bool
		cid     int
		long    bool
		mayOpen bool
	}{
		{"empty", nil, false, 0, false, false},
		{"short", append([]byte{0x40}, bytes.Repeat([]byte{7}, 30)...), true, shortLen, false, false},
		{"short header cut", append([]byte{0x40}, bytes.Repeat([]byte{7}, shortLen-1)...), false, 0, false, false},
		{"initial", long(0xc0, v1, 8), true, 8, true, true},
		{"initial with a route token", long(0xc0, v1, shortLen), true, shortLen, true, true},
		{"initial with a too short ID", long(0xc0, v1, 7), true, 7, true, false},
		{"handshake", long(0xe0, v1, 8), true, 8, true, false},
		{"unknown version", long(0xe0, unknown, 8), true, 8, true, true},
		{"ID too long", long(0xc0, v1, 21), false, 0, false, false},
		{"ID cut", long(0xc0, v1, 20)[:25], false, 0, false, false},
		{"no ID length", []byte{0xc0, 0, 0, 0, 1}, false, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, ok := gdquic.Parse(tt.in, shortLen)
			require.Equal(t, tt.ok, ok)
			require.Len(t, h.ConnectionID(), tt.cid)
			require.Equal(t, tt.long, h.Long())
			require.Equal(t, tt.mayOpen, h.MayOpen())
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(long(0xc0, v1, 8))
	f.Add(long(0xe0, unknown, 20))
	f.Add(long(0xc0, v1, 20)[:25])
	f.Add(append([]byte{0x40}, bytes.Repeat([]byte{7}, shortLen)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, ok := gdquic.Parse(b, shortLen)
		if !ok {
			require.False(t, h.MayOpen())
			require.Empty(t, h.ConnectionID())
			return
		}
		at := 1
		if h.Long() {
			at = 6
		} else {
			require.False(t, h.MayOpen())
			require.Len(t, h.ConnectionID(), shortLen)
		}
		require.True(t, bytes.HasPrefix(b[at:], h.ConnectionID()))
	})
}
