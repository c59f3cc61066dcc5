// Package gdquic parses the version-independent part of a QUIC packet (RFC 8999):
// the header form and the destination connection ID.
//
// # Usage
//
//	h, ok := gdquic.Parse(datagram, gdtoken.Size)
//	if !ok {
//		return // truncated or not a QUIC packet: drop it
//	}
//
// [Parse] does not allocate; the connection ID aliases the datagram.
package gdquic

import "encoding/binary"

const (
	longForm         = 0x80
	versionEnd       = 5
	maxCIDLen        = 20
	typeMask         = 0x30
	initialType      = 0x00
	version1         = 0x00000001
	minOpeningCIDLen = 8
)

// Header is the version-independent part of a packet header.
type Header struct {
	cid     []byte
	long    bool
	mayOpen bool
}

// ConnectionID returns the destination connection ID.
func (h Header) ConnectionID() []byte { return h.cid }

// Long reports whether the packet has a long header, as the packets of the
// handshake have.
func (h Header) Long() bool { return h.long }

// MayOpen reports whether the packet may open a flow. Such a packet is an Initial
// packet of version 1 or a packet of an unknown version, which the agent answers
// with a Version Negotiation packet.
func (h Header) MayOpen() bool { return h.mayOpen }

// Parse parses the header of the first packet in a datagram. Connection IDs in
// short headers are shortCIDLen bytes long. Parse returns false if the datagram
// is too short for its header or its connection ID is longer than 20 bytes.
func Parse(b []byte, shortCIDLen int) (Header, bool) {
	if len(b) == 0 {
		return Header{}, false
	}
	if b[0]&longForm == 0 {
		if len(b) < 1+shortCIDLen {
			return Header{}, false
		}
		return Header{cid: b[1 : 1+shortCIDLen]}, true
	}
	return parseLong(b)
}

func parseLong(b []byte) (Header, bool) {
	if len(b) < versionEnd+1 {
		return Header{}, false
	}
	n := int(b[versionEnd])
	if n > maxCIDLen || len(b) < versionEnd+1+n {
		return Header{}, false
	}
	h := Header{cid: b[versionEnd+1 : versionEnd+1+n], long: true}
	version := binary.BigEndian.Uint32(b[1:versionEnd])
	known := version == version1
	initial := b[0]&typeMask == initialType
	h.mayOpen = n >= minOpeningCIDLen && (!known || initial)
	return h, true
}
