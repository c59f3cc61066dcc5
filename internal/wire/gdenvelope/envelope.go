package gdenvelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Kind is the direction of an envelope.
type Kind uint8

const (
	// ToAgent carries a caller's datagram from a balancer or an agent.
	ToAgent Kind = 1
	// ToCaller carries an agent's datagram to the balancer that sends it to the caller.
	ToCaller Kind = 2
)

const (
	format = 0xd1

	kindOffset     = 1
	sessionOffset  = 2
	counterOffset  = 10
	revisionOffset = 18
	digestOffset   = 26
	serviceOffset  = 34
	hopsOffset     = 36
	flagsOffset    = 37
	addrOffset     = 38

	tagSize  = 16
	ipv4Addr = 4 + 2
	ipv6Addr = 16 + 2

	callerIs6   = 1
	balancerIs6 = 2
	serviceIs6  = 4

	minSize = addrOffset + 3*ipv4Addr + tagSize
	// MaxPayload is the maximum size of an envelope's payload in bytes.
	MaxPayload = 1500
	// MaxSize is the maximum size of an envelope in bytes.
	MaxSize = addrOffset + 3*ipv6Addr + MaxPayload + tagSize
)

// Envelope is a datagram with its metadata.
type Envelope struct {
	Kind    Kind
	Version gdconf.Version
	Service gdconf.ServiceID
	Hops    uint8
	// Caller is the source or the destination of the datagram.
	Caller netip.AddrPort
	// Balancer is the address to which agents send datagrams for the caller.
	Balancer netip.AddrPort
	// ServiceAddress is the service address at which the caller's datagram arrived.
	ServiceAddress netip.AddrPort
	Payload        []byte
}

// Errors of Open. Each stands for one kind of invalid datagram. The kinds are counted
// separately.
var (
	ErrTruncated = errors.New("envelope: truncated")
	ErrOversized = errors.New("envelope: oversized")
	ErrFormat    = errors.New("envelope: unknown format or kind")
	ErrForged    = errors.New("envelope: authentication failed")
	ErrReplayed  = errors.New("envelope: replayed")
)

// appendHeader appends everything before the payload.
func appendHeader(b []byte, e Envelope, session, counter uint64) []byte {
	b = append(b, format, byte(e.Kind))
	b = binary.BigEndian.AppendUint64(b, session)
	b = binary.BigEndian.AppendUint64(b, counter)
	b = binary.BigEndian.AppendUint64(b, e.Version.Revision())
	b = binary.BigEndian.AppendUint64(b, e.Version.Digest())
	b = binary.BigEndian.AppendUint16(b, uint16(e.Service))
	b = append(b, e.Hops, addrFlags(e))
	b = appendAddr(b, e.Caller)
	b = appendAddr(b, e.Balancer)
	return appendAddr(b, e.ServiceAddress)
}

func addrFlags(e Envelope) byte {
	var f byte
	if !is4(e.Caller) {
		f |= callerIs6
	}
	if !is4(e.Balancer) {
		f |= balancerIs6
	}
	if !is4(e.ServiceAddress) {
		f |= serviceIs6
	}
	return f
}

// is4 reports whether the address fits into four bytes. The zero address counts as
// 0.0.0.0.
func is4(a netip.AddrPort) bool { return !a.Addr().IsValid() || a.Addr().Unmap().Is4() }

func appendAddr(b []byte, a netip.AddrPort) []byte {
	switch {
	case !a.Addr().IsValid():
		b = append(b, 0, 0, 0, 0)
	case is4(a):
		ip := a.Addr().Unmap().As4()
		b = append(b, ip[:]...)
	default:
		ip := a.Addr().As16()
		b = append(b, ip[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// readAddr reads an address and returns the rest of b. b must be long enough.
func readAddr(b []byte, is6 bool) (netip.AddrPort, []byte) {
	n := ipv4Addr - 2
	if is6 {
		n = ipv6Addr - 2
	}
	// AddrFromSlice always accepts 4 or 16 bytes.
	ip, _ := netip.AddrFromSlice(b[:n])
	port := binary.BigEndian.Uint16(b[n:])
	return netip.AddrPortFrom(ip, port), b[n+2:]
}

// parse reads an envelope whose tag has been verified and removed.
func parse(b []byte) (Envelope, error) {
	e := Envelope{
		Kind: Kind(b[kindOffset]),
		Version: gdconf.NewVersion(
			binary.BigEndian.Uint64(b[revisionOffset:]),
			binary.BigEndian.Uint64(b[digestOffset:]),
		),
		Service: gdconf.ServiceID(binary.BigEndian.Uint16(b[serviceOffset:])),
		Hops:    b[hopsOffset],
	}
	flags := b[flagsOffset]
	rest := b[addrOffset:]
	if len(rest) < addrsSize(flags) {
		return Envelope{}, ErrTruncated
	}
	e.Caller, rest = readAddr(rest, flags&callerIs6 != 0)
	e.Balancer, rest = readAddr(rest, flags&balancerIs6 != 0)
	e.ServiceAddress, rest = readAddr(rest, flags&serviceIs6 != 0)
	e.Payload = rest
	return e, nil
}

func addrsSize(flags byte) int {
	n := 3 * ipv4Addr
	for _, bit := range []byte{callerIs6, balancerIs6, serviceIs6} {
		if flags&bit != 0 {
			n += ipv6Addr - ipv4Addr
		}
	}
	return n
}
