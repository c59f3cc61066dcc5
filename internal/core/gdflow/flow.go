// Package gdflow has the identity of flows and the properties of their packets that the
// decision cores depend on. The two ends of a flow are a caller and an upstream, and
// nothing in between reads or modifies the payload.
//
// # Usage
//
//	p, err := codec.FromCaller(datagram) // of the platform adapter
//	if p.Opens() {
//		...
//	}
//	hash := p.Key().Hash()
//
// A [Key] has the same value for packets in both directions.
package gdflow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Address is an IPv4 address and a port, small enough for map keys.
type Address struct {
	ip   [4]byte
	port uint16
}

// AddressFrom returns the address of ip and port.
func AddressFrom(ip [4]byte, port uint16) Address { return Address{ip: ip, port: port} }

// AddressFromAddrPort returns the address, and false if it is not an IPv4 address.
func AddressFromAddrPort(a netip.AddrPort) (Address, bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Address{}, false
	}
	return Address{ip: ip.As4(), port: a.Port()}, true
}

// AddrPort returns the address as a netip.AddrPort.
func (a Address) AddrPort() netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4(a.ip), a.port) }

// IP returns the four bytes of the address.
func (a Address) IP() [4]byte { return a.ip }

// Port returns the port.
func (a Address) Port() uint16 { return a.port }

// WithPort returns the same IP address with another port.
func (a Address) WithPort(port uint16) Address { return Address{ip: a.ip, port: port} }

// IsZero reports whether the address is unset.
func (a Address) IsZero() bool { return a == Address{} }

func (a Address) String() string { return a.AddrPort().String() }

// Key identifies a flow by the addresses of its caller and of the service.
type Key struct {
	caller  Address
	service Address
}

// NewKey returns the key of a flow.
func NewKey(caller, service Address) Key { return Key{caller: caller, service: service} }

// Caller returns the caller's address.
func (k Key) Caller() Address { return k.caller }

// Service returns the service address that the caller opened the flow to.
func (k Key) Service() Address { return k.service }

// KeySize is the length of a key's encoding, in bytes.
const KeySize = 12

// AppendTo appends the key's encoding.
func (k Key) AppendTo(b []byte) []byte {
	b = append(b, k.caller.ip[:]...)
	b = binary.BigEndian.AppendUint16(b, k.caller.port)
	b = append(b, k.service.ip[:]...)
	return binary.BigEndian.AppendUint16(b, k.service.port)
}

// ParseKey decodes a key from the first KeySize bytes of b.
func ParseKey(b []byte) (Key, bool) {
	if len(b) < KeySize {
		return Key{}, false
	}
	var k Key
	copy(k.caller.ip[:], b)
	k.caller.port = binary.BigEndian.Uint16(b[4:])
	copy(k.service.ip[:], b[6:])
	k.service.port = binary.BigEndian.Uint16(b[10:])
	return k, true
}

// Hash returns the hash that places a flow. It is the same in all processes.
func (k Key) Hash() uint64 {
	var buf [KeySize]byte
	return xxhash.Sum64(k.AppendTo(buf[:0]))
}

func (k Key) String() string { return k.caller.String() + ">" + k.service.String() }

// Kind is the function of a packet in its flow.
type Kind uint8

const (
	// Data is a packet in the middle of a flow, with or without payload.
	Data Kind = iota
	// Open requests a flow.
	Open
	// Accept is the upstream's answer to Open.
	Accept
	// Finish reports that its sender has sent everything.
	Finish
	// Reset ends the flow at once.
	Reset
)

// Packet has the properties of a packet that the cores depend on.
type Packet struct {
	key Key
	// Seq is the sequence number of the packet's payload, and Ack the next one that its
	// sender expects.
	Seq, Ack uint32
	// Size is the length of the packet's payload, in bytes.
	Size int
	// Kind is the function of the packet in its flow.
	Kind Kind
	// Returned reports that an upstream did not accept the packet.
	Returned bool
}

// NewPacket returns a packet of the flow.
func NewPacket(k Key, kind Kind) Packet { return Packet{key: k, Kind: kind} }

// Key returns the flow's key.
func (p Packet) Key() Key { return p.key }

// Opens reports whether the packet requests a flow.
func (p Packet) Opens() bool { return p.Kind == Open }

// Retransmits returns how often the caller has sent the request for the flow before,
// for a packet that opens one.
func (p Packet) Retransmits() int { return int(p.Ack) }
