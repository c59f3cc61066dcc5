package gdsync

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
)

func newTestState(t *testing.T, d config.Deployment) *State {
	t.Helper()
	return warmNet(1, 1, d, nil).cores[0].State()
}

func TestAppliedUpdateResultsInTheNewState(t *testing.T) {
	base := deployment(1, 4, 2, 0)
	swap := deployment(2, 4, 2, 0)
	swap.Services[0], swap.Services[1] = swap.Services[1], swap.Services[0]
	fewer := deployment(2, 4, 2, 0)
	fewer.Services = fewer.Services[1:]
	out := deployment(2, 4, 2, 0)
	out.Domains[0].State = config.StateOut
	cases := []struct {
		name                   string
		next                   config.Deployment
		values, removed, order int
	}{
		{"one changed", deployment(2, 4, 2, 5), 1, 0, 0},
		{"one added and the last one changed", deployment(2, 5, 2, 0), 2, 0, 0},
		{"one removed", fewer, 0, 1, 0},
		{"order changed", swap, 0, 0, 4},
		{"failure domain out", out, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			from, to := newTestState(t, base), newTestState(t, c.next)
			for _, b := range []*State{from, nil} {
				data, err := Encode(to.update(b))
				require.NoError(t, err)
				u, err := Decode(data)
				require.NoError(t, err)
				got, err := b.apply(u)
				require.NoError(t, err)
				require.Equal(t, to.Version(), got.Version())
				require.Equal(t, to.fingerprint, got.fingerprint)
				if b != nil {
					require.Len(t, u.Values, c.values)
					require.Len(t, u.Removed, c.removed)
					require.Len(t, u.Order, c.order)
				}
			}
		})
	}
}

func TestUpdateWithWrongVersionIsRejected(t *testing.T) {
	from, to := newTestState(t, deployment(1, 2, 2, 0)), newTestState(t, deployment(2, 2, 2, 1))
	u := to.update(from)
	u.Digest++
	_, err := from.apply(u)
	require.ErrorContains(t, err, "instead of")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x08, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(u)
		require.NoError(t, err)
		_, err = Decode(again)
		require.NoError(t, err)
		_, _ = (*State)(nil).apply(u) // must not panic
	})
}
