package gdlisten

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// firstNetwork and networkCount give the range of the second byte of the addresses of
	// networks.
	firstNetwork = 16
	networkCount = 200
	// networkPort is the port that is held open to claim a network.
	networkPort = 7700
)

// Network is a part of the loopback network that one process has claimed, so that processes that
// use the same ports don't meet: rigs and tests that run at the same time.
type Network struct {
	second byte
	claim  net.Listener
}

// ClaimNetwork claims a network that nobody else has claimed.
func ClaimNetwork() (*Network, error) {
	for i := range byte(networkCount) {
		n := &Network{second: firstNetwork + i}
		l, err := net.Listen("tcp4", netip.AddrPortFrom(n.Addr(0, 1), networkPort).String())
		if err == nil {
			n.claim = l
			return n, nil
		}
	}
	return nil, errors.Errorf("claim a part of the loopback network: all %d parts are in use", networkCount)
}

// Addr returns an address of the network. The kind denotes what it is for; 0 is used by the claim.
func (n *Network) Addr(kind, host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.second, kind, host})
}

// Close gives the network up.
func (n *Network) Close() error {
	return errors.Wrap(n.claim.Close(), "give up a part of the loopback network")
}
