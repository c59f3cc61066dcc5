package gdlisten

import (
	"net/netip"
	"os"
)

// MaxProcessAddresses is the number of loopback addresses of each process.
const MaxProcessAddresses = 14

// ProcessAddress returns the nth loopback address, from 1, of this process. Processes that run at
// the same time have different ones, so that two runs of the same tests don't meet at a port
// that both take for free.
func ProcessAddress(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(16*n + pid>>16&15), byte(pid >> 8), byte(pid)})
}
