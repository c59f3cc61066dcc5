package gdlisten_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

func TestProcessAddressesCanBeUsed(t *testing.T) {
	seen := map[netip.Addr]bool{netip.MustParseAddr("127.0.0.1"): true}
	for n := 1; n <= gdlisten.MaxProcessAddresses; n++ {
		a := gdlisten.ProcessAddress(n)
		require.False(t, seen[a])
		seen[a] = true
		l, err := net.Listen("tcp4", netip.AddrPortFrom(a, 0).String())
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
