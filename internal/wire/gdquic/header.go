// Package gdquic reads the part of a QUIC packet that never changes between
// versions (RFC 8999): the header form and the destination connection ID.
//
// # Usage
//
//	h, ok := gdquic.Parse(datagram, gdtoken.Size)
//	if !ok {
//		return // truncated or no QUIC packet: drop it
//	}
//
// Parse does not allocate; the connection ID points into the datagram.
package gdquic

import "encoding/binary"

const (
	longForm     = 0x80
	versionEnd   = 5
	maxCIDLen    = 20
	typeMask     = 0x30
	initialType  = 0x00
	version1     = 0x00000001
	minCallerCID = 8
)

// Header is the invariant part of a packet.
type Header struct {
	cid     []byte
	long    bool
	initial bool
}

// ConnectionID returns the destination connection ID.
func (h Header) ConnectionID() []byte { return h.cid }

// Long reports whether the packet has the long header of the handshake.
func (h Header) Long() bool { return h.long }

// MayOpen reports whether the packet may open a flow: an Initial packet of
// version 1, or a packet of an unknown version, which the agent answers with a
// version negotiation.
func (h Header) MayOpen() bool { return h.initial }

// Parse reads the header of the first packet in a datagram. Connection IDs of
// short headers have shortLen bytes. It reports false when the datagram is too
// short for its header.
func Parse(b []byte, shortLen int) (Header, bool) {
	if len(b) == 0 {
		return Header{}, false
	}
	if b[0]&longForm == 0 {
		if len(b) < 1+shortLen {
			return Header{}, false
		}
		return Header{cid: b[1 : 1+shortLen]}, true
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
	h.initial = n >= minCallerCID && (!known || initial)
	return h, true
}
