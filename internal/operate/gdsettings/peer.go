package gdsettings

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

// Peer is another process of the fleet. In settings it has the form NAME@IP:PORT, the
// name and the node address of that process.
type Peer struct {
	name    string
	address netip.AddrPort
}

// Name returns the process's name.
func (p Peer) Name() string { return p.name }

// Address returns the process's node address.
func (p Peer) Address() netip.AddrPort { return p.address }

// UnmarshalText parses NAME@IP:PORT.
func (p *Peer) UnmarshalText(text []byte) error {
	name, address, _ := strings.Cut(string(text), "@")
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || !config.ValidName(name) {
		return errors.Errorf("peer %q is not of the form NAME@IP:PORT", text)
	}
	p.name, p.address = name, ap
	return nil
}
