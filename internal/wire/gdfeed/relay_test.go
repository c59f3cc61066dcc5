package gdfeed_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
	"godwitdrift.example/godwitdrift/internal/wire/gdfeed"
)

func TestDatagramsRoundTrip(t *testing.T) {
	data, err := gdfeed.EncodeBeacons(beacon(registration(1)))
	require.NoError(t, err)
	plain, err := gdfeed.ParseDatagram(data[0], 8080)
	require.NoError(t, err)
	require.Equal(t, gdfeed.Datagram{Beacon: data[0]}, plain)

	targets := []gdflow.Address{address(1), address(2)}
	d, err := gdfeed.ParseDatagram(gdfeed.AppendToRelay(nil, data[0], targets), 8080)
	require.NoError(t, err)
	require.Equal(t, gdfeed.Datagram{Beacon: data[0], Targets: targets}, d)

	d, err = gdfeed.ParseDatagram(gdfeed.AppendRelayed(nil, data[0], address(7)), 8080)
	require.NoError(t, err)
	require.Equal(t, gdfeed.Datagram{Beacon: data[0], Origin: address(7), Relayed: true}, d)

	both := gdfeed.AppendRelayed(nil, gdfeed.AppendToRelay(nil, data[0], targets), address(7))
	d, err = gdfeed.ParseDatagram(both, 8080)
	require.NoError(t, err)
	require.Equal(t, gdfeed.Datagram{Beacon: data[0], Origin: address(7), Relayed: true, Targets: targets}, d)
}

// TestLargestDatagramFits: a beacon with many changes and a full list of targets is not
// fragmented.
func TestLargestDatagramFits(t *testing.T) {
	const ethernet, headers = 1500, 28
	targets := make([]gdflow.Address, gdreaders.MaxRelayTargets)
	data := gdfeed.AppendToRelay(nil, make([]byte, gdfeed.MaxBeaconSize), targets)
	data = gdfeed.AppendRelayed(nil, data, address(1))
	require.LessOrEqual(t, len(data), ethernet-headers)
}

func TestInvalidDatagrams(t *testing.T) {
	for _, tt := range []struct {
		data []byte
		want string
	}{
		{nil, "datagram is empty"},
		{[]byte{gdfeed.Version | 0x40}, "1 bytes are too short"},
		{[]byte{gdfeed.Version | 0x40, 2, 1, 2, 3, 4, 5}, "2 targets in 7 bytes"},
		{append([]byte{gdfeed.Version | 0x40, 200}, make([]byte, 1000)...), "200 targets in 1002 bytes, at most 128 allowed"},
		{[]byte{gdfeed.Version | 0x80, 1, 2, 3}, "4 bytes are too short"},
		{[]byte{gdfeed.Version | 0x80, 1, 2, 3, 4, 5, 6, gdfeed.Version | 0x40, 9, 1}, "9 targets in 3 bytes"},
	} {
		_, err := gdfeed.ParseDatagram(tt.data, 8080)
		require.ErrorContains(t, err, tt.want)
	}
}

func FuzzParseDatagram(f *testing.F) {
	f.Add(gdfeed.AppendToRelay(nil, []byte{gdfeed.Version}, []gdflow.Address{address(1)}))
	f.Add(gdfeed.AppendRelayed(nil, []byte{gdfeed.Version}, address(1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := gdfeed.ParseDatagram(b, 8080)
		if err == nil {
			require.LessOrEqual(t, len(d.Targets), gdreaders.MaxRelayTargets)
		}
	})
}
