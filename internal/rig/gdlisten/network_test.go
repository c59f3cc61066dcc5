package gdlisten_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

// TestNetworksAreClaimedOnce: two rigs or tests run at the same time.
func TestNetworksAreClaimedOnce(t *testing.T) {
	a, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	b, err := gdlisten.ClaimNetwork()
	require.NoError(t, err)
	require.NotEqual(t, a.Addr(1, 1), b.Addr(1, 1))
	require.NotEqual(t, a.Addr(1, 1), a.Addr(2, 1))
	require.True(t, a.Addr(1, 1).IsLoopback())
	require.NoError(t, a.Close())
	require.NoError(t, b.Close())
}
