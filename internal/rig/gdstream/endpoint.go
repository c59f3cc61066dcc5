// Package gdstream implements an endpoint of a flow: a reliable byte stream over packets
// that may be lost, duplicated or reordered. The rig's callers and upstreams use it.
//
// # Usage
//
//	e := gdstream.New(local, peer, initialSeq, expectedSeq)
//	e.Write(request)
//	for _, p := range e.Poll(now) {
//		send(p)
//	}
//	data := e.Receive(now, packet)
//
// An endpoint has no clock and no socket. Its user calls Poll after each call of another
// method that changes it, and at the time that RetransmitAt returns.
package gdstream

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// sendWindow is the maximum amount of unacknowledged data, in bytes: that of 16 full
	// packets, as on the users' platform.
	sendWindow = 16 * platformsim.MaxData
	// minRetransmitDelay and maxRetransmitDelay bound the delay before a retransmission,
	// which doubles each time. Both are those of the users' platform.
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay = 1600 * time.Millisecond
	// maxRetransmits is the maximum number of retransmissions without an acknowledgement;
	// after that the endpoint times out.
	maxRetransmits = 8
)

// Endpoint is one end of a flow.
type Endpoint struct {
	local, peer           gdflow.Address
	unacked               []byte // written data that the peer has not acknowledged
	firstUnacked, nextSeq uint32 // the sequence numbers of the first byte of unacked and of the next byte to send
	finishing             bool   // the stream ends after unacked
	finishAcked           bool   // the peer has acknowledged the end of the stream
	expectedSeq           uint32
	pending               map[uint32]segment // received segments that are not returned yet, by sequence number
	ackDue                bool               // an acknowledgement must be sent
	peerFinished          bool               // the peer's stream has ended
	retransmitAt          time.Time
	retransmitDelay       time.Duration
	retransmits           int
}

// segment is the part of the peer's stream that a packet carries.
type segment struct {
	data   []byte
	finish bool
}

// New returns an endpoint whose first byte has the sequence number initialSeq. The peer's
// first byte has expectedSeq.
func New(local, peer gdflow.Address, initialSeq, expectedSeq uint32) *Endpoint {
	return &Endpoint{
		local: local, peer: peer, firstUnacked: initialSeq, nextSeq: initialSeq, expectedSeq: expectedSeq,
		pending: make(map[uint32]segment), ackDue: true, retransmitDelay: minRetransmitDelay,
	}
}

// Write appends data to the stream.
func (e *Endpoint) Write(data []byte) { e.unacked = append(e.unacked, data...) }

// Finish ends the stream after the data written so far.
func (e *Endpoint) Finish() { e.finishing = true }

// PeerFinished reports whether the peer's whole stream has been received.
func (e *Endpoint) PeerFinished() bool { return e.peerFinished }

// Closed reports whether the peer's stream has ended and the peer has acknowledged the
// end of this endpoint's stream.
func (e *Endpoint) Closed() bool { return e.peerFinished && e.finishAcked }

// TimedOut reports whether the peer has not acknowledged data after all retransmissions.
func (e *Endpoint) TimedOut() bool { return e.retransmits > maxRetransmits }

// ExpectedSeq returns the sequence number of the next byte expected from the peer.
func (e *Endpoint) ExpectedSeq() uint32 { return e.expectedSeq }

// RetransmitAt returns the time of the next retransmission, or the zero time if none is
// scheduled.
func (e *Endpoint) RetransmitAt() time.Time {
	if e.firstUnacked == e.nextSeq || e.TimedOut() {
		return time.Time{}
	}
	return e.retransmitAt
}

// Receive handles a packet of the peer and returns the bytes of the peer's stream that are
// now complete and in order.
func (e *Endpoint) Receive(now time.Time, p platformsim.Packet) []byte {
	if p.Has(platformsim.Ack) {
		e.handleAck(now, p.Ack)
	}
	s := segment{data: append([]byte(nil), p.Data...), finish: p.Has(platformsim.Finish)}
	if len(s.data) == 0 && !s.finish {
		return nil
	}
	e.ackDue = true
	e.pending[p.Seq] = s
	var data []byte
	for more := true; more; {
		more = false
		for seq, s := range e.pending {
			delivered := int32(e.expectedSeq - seq) // the number of its bytes returned before
			if delivered < 0 {
				continue
			}
			delete(e.pending, seq)
			if e.peerFinished || int(delivered) > len(s.data) {
				continue
			}
			data = append(data, s.data[delivered:]...)
			e.expectedSeq += uint32(len(s.data)) - uint32(delivered)
			if s.finish {
				e.expectedSeq++
				e.peerFinished = true
			}
			more = true
		}
	}
	return data
}

// handleAck handles an acknowledgement of all bytes before the sequence number ack.
func (e *Endpoint) handleAck(now time.Time, ack uint32) {
	n := ack - e.firstUnacked
	if n == 0 || n > e.nextSeq-e.firstUnacked {
		return
	}
	data := min(int(n), len(e.unacked))
	e.unacked, e.firstUnacked = e.unacked[data:], ack
	e.finishAcked = e.finishAcked || int(n) > data
	e.retransmitDelay, e.retransmits, e.retransmitAt = minRetransmitDelay, 0, now.Add(minRetransmitDelay)
}

// Poll returns the packets to send now: a retransmission that is due, new data that fits
// the window, or a mere acknowledgement.
func (e *Endpoint) Poll(now time.Time) []platformsim.Packet {
	var out []platformsim.Packet
	if e.firstUnacked != e.nextSeq && !e.retransmitAt.After(now) && !e.TimedOut() {
		e.retransmits++
		e.retransmitDelay = min(2*e.retransmitDelay, maxRetransmitDelay)
		e.retransmitAt = now.Add(e.retransmitDelay)
		if e.TimedOut() {
			return nil
		}
		p, _ := e.packet(e.firstUnacked, e.nextSeq)
		out = append(out, p)
	}
	for end := e.endSeq(); e.nextSeq != end && e.nextSeq-e.firstUnacked < sendWindow; {
		if e.nextSeq == e.firstUnacked {
			e.retransmitAt = now.Add(e.retransmitDelay)
		}
		p, size := e.packet(e.nextSeq, end)
		e.nextSeq += size
		out = append(out, p)
	}
	if e.ackDue && len(out) == 0 {
		out = append(out, e.header(e.nextSeq))
	}
	e.ackDue = false
	return out
}

// endSeq returns the sequence number after the last one of the stream so far. The end of
// the stream takes one number.
func (e *Endpoint) endSeq() uint32 {
	n := e.firstUnacked + uint32(len(e.unacked))
	if e.finishing && !e.finishAcked {
		n++
	}
	return n
}

// packet returns the packet that starts at the sequence number seq and ends before end at
// the latest, and the number of sequence numbers that it takes.
func (e *Endpoint) packet(seq, end uint32) (platformsim.Packet, uint32) {
	p := e.header(seq)
	rest := e.unacked[seq-e.firstUnacked:]
	rest = rest[:min(len(rest), int(end-seq), platformsim.MaxData)]
	p.Data = append([]byte(nil), rest...)
	size := uint32(len(rest))
	if e.finishing && !e.finishAcked && seq+size+1 == e.endSeq() && seq+size != end {
		p.Flags |= platformsim.Finish
		size++
	}
	return p, size
}

func (e *Endpoint) header(seq uint32) platformsim.Packet {
	return platformsim.Packet{From: e.local, To: e.peer, Seq: seq, Ack: e.expectedSeq, Flags: platformsim.Ack}
}
