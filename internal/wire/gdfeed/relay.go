package gdfeed

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
)

const (
	ipSize = 4
	// relayOverhead is the size of the part of a datagram before the targets, and
	// originSize that of the part before a relayed beacon.
	relayOverhead = 2
	originSize    = 1 + ipSize + 2

	// The first byte of a datagram is the version of a plain beacon, or one of these.
	toRelay = Version | 0x40
	relayed = Version | 0x80
)

// Datagram is a beacon as it travels.
type Datagram struct {
	// Beacon is the encoded beacon.
	Beacon []byte
	// Origin is the host that the beacon is of, if another one has relayed it.
	Origin  gdflow.Address
	Relayed bool
	// Targets are the hosts to which the receiver relays the beacon, at its own port.
	Targets []gdflow.Address
}

// AppendToRelay appends a datagram that asks its receiver to relay a beacon to the targets,
// at most gdreaders.MaxRelayTargets.
func AppendToRelay(b, beacon []byte, targets []gdflow.Address) []byte {
	b = append(b, toRelay, byte(len(targets)))
	for _, a := range targets {
		ip := a.IP()
		b = append(b, ip[:]...)
	}
	return append(b, beacon...)
}

// AppendRelayed appends a datagram with another host's beacon, which contains a datagram of
// AppendToRelay or a plain beacon.
func AppendRelayed(b, datagram []byte, origin gdflow.Address) []byte {
	ip := origin.IP()
	b = append(append(b, relayed), ip[:]...)
	b = binary.BigEndian.AppendUint16(b, origin.Port())
	return append(b, datagram...)
}

// ParseDatagram separates a beacon from how it travels. Targets are at the port. The result
// points into b.
func ParseDatagram(b []byte, port uint16) (Datagram, error) {
	switch {
	case len(b) == 0:
		return Datagram{}, errors.New("decode feed datagram: datagram is empty")
	case b[0] == toRelay:
		return parseToRelay(b, port)
	case b[0] == relayed:
		if len(b) <= originSize {
			return Datagram{}, errors.Errorf("decode relayed beacon: %d bytes are too short", len(b))
		}
		d := Datagram{Beacon: b[originSize:]}
		if d.Beacon[0] == toRelay {
			var err error
			if d, err = parseToRelay(d.Beacon, port); err != nil {
				return Datagram{}, err
			}
		}
		d.Origin = gdflow.AddressFrom([ipSize]byte(b[1:1+ipSize]), binary.BigEndian.Uint16(b[1+ipSize:]))
		d.Relayed = true
		return d, nil
	}
	return Datagram{Beacon: b}, nil
}

func parseToRelay(b []byte, port uint16) (Datagram, error) {
	if len(b) < relayOverhead {
		return Datagram{}, errors.Errorf("decode beacon for a relay: %d bytes are too short", len(b))
	}
	n, rest := int(b[1]), b[relayOverhead:]
	if n > gdreaders.MaxRelayTargets || len(rest) <= n*ipSize {
		return Datagram{}, errors.Errorf("decode beacon for a relay: %d targets in %d bytes, at most %d allowed", n, len(b), gdreaders.MaxRelayTargets)
	}
	d := Datagram{Beacon: rest[n*ipSize:]}
	for i := range n {
		d.Targets = append(d.Targets, gdflow.AddressFrom([ipSize]byte(rest[i*ipSize:]), port))
	}
	return d, nil
}
