package gdsocket_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
)

func TestReach(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	at := l.Addr().(*net.TCPAddr).AddrPort()
	require.Equal(t, gdsocket.Responsive, reach(t, at), "accepted")
	require.NoError(t, l.Close())
	require.Equal(t, gdsocket.Responsive, reach(t, at), "refused")
	// A listener whose queue is full drops the first packet of a connection, as a host
	// without power does.
	require.Equal(t, gdsocket.Unresponsive, reach(t, fullListener(t)), "no response")
}

// reach probes the address until the test itself has run all the while.
func reach(t *testing.T, at netip.AddrPort) gdsocket.Reachability {
	t.Helper()
	for {
		if r := gdsocket.Reach(t.Context(), at); r != gdsocket.Unknown {
			return r
		}
	}
}

// fullListener returns the address of a listener that drops the first packet of each
// connection, because its queue of one connection is full.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, syscall.Close(fd)) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	c, err := net.Dial("tcp4", at.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return at
}
