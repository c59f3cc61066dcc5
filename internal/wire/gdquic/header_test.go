package gdquic_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/wire/gdquic"
)

const shortCIDLen = 17

// longHeader builds a long header with a connection ID of cidLen bytes.
func longHeader(first byte, version [4]byte, cidLen int) []byte {
	b := append([]byte{first}, version[:]...)
	b = append(b, byte(cidLen))
	return append(b, bytes.Repeat([]byte{7}, cidLen)...)
}

var (
	v1             = [4]byte{0, 0, 0, 1}
	unknownVersion = [4]byte{0x1a, 0x2a, 0x3a, 0x4a}
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
		{"short", append([]byte{0x40}, bytes.Repeat([]byte{7}, 30)...), true, shortCIDLen, false, false},
		{"short header truncated", append([]byte{0x40}, bytes.Repeat([]byte{7}, shortCIDLen-1)...), false, 0, false, false},
		{"initial", longHeader(0xc0, v1, 8), true, 8, true, true},
		{"initial with a route token", longHeader(0xc0, v1, shortCIDLen), true, shortCIDLen, true, true},
		{"initial with an ID that is too short", longHeader(0xc0, v1, 7), true, 7, true, false},
		{"handshake", longHeader(0xe0, v1, 8), true, 8, true, false},
		{"unknown version", longHeader(0xe0, unknownVersion, 8), true, 8, true, true},
		{"ID too long", longHeader(0xc0, v1, 21), false, 0, false, false},
		{"ID truncated", longHeader(0xc0, v1, 20)[:25], false, 0, false, false},
		{"no ID length", []byte{0xc0, 0, 0, 0, 1}, false, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, ok := gdquic.Parse(tt.in, shortCIDLen)
			require.Equal(t, tt.ok, ok)
			require.Len(t, h.ConnectionID(), tt.cid)
			require.Equal(t, tt.long, h.Long())
			require.Equal(t, tt.mayOpen, h.MayOpen())
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte{})
	f.Add(longHeader(0xc0, v1, 8))
	f.Add(longHeader(0xe0, unknownVersion, 20))
	f.Add(longHeader(0xc0, v1, 20)[:25])
	f.Add(append([]byte{0x40}, bytes.Repeat([]byte{7}, shortCIDLen)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, ok := gdquic.Parse(b, shortCIDLen)
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
			require.Len(t, h.ConnectionID(), shortCIDLen)
		}
		require.True(t, bytes.HasPrefix(b[at:], h.ConnectionID()))
	})
}
