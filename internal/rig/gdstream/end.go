// Package gdstream is one end of a flow: a byte stream over packets that may be lost,
// come twice or in another order. Callers and upstreams of the rig speak through it.
//
// # Usage
//
//	e := gdstream.New(own, peer, first, expected)
//	e.Write(request)
//	for _, p := range e.Poll(now) {
//		send(p)
//	}
//	data := e.Take(now, packet)
//
// It has no clock and no socket. Poll is due after each call and at Next.
package gdstream

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

const (
	// window is how many packets are on their way at most, as on the users' platform.
	window = 16 * platformsim.MaxData
	// firstWait and longestWait bound the time before a packet is sent again; it
	// doubles in between. Source: the users' platform.
	firstWait   = 200 * time.Millisecond
	longestWait = 1600 * time.Millisecond
	// mostRepeats is how often a packet is sent again before the end gives up.
	mostRepeats = 8
)

// Endpoint is one end of a flow.
type Endpoint struct {
	own, peer gdflow.Address
	out       []byte // what the other end has not confirmed
	una, next uint32 // the first byte of out, and the next one to send
	finishing bool   // the stream ends with out
	outDone   bool   // the other end has confirmed the end of the stream
	expects   uint32
	early     map[uint32]segment
	confirm   bool // a confirmation is due
	finished  bool // the other end's stream has ended
	again     time.Time
	wait      time.Duration
	repeats   int
}

// segment is a packet's part of the other end's stream.
type segment struct {
	data   []byte
	finish bool
}

// New returns an end that sends its first byte under one number and expects the
// other end's under another.
func New(own, peer gdflow.Address, first, expects uint32) *Endpoint {
	return &Endpoint{
		own: own, peer: peer, una: first, next: first, expects: expects,
		early: make(map[uint32]segment), confirm: true, wait: firstWait,
	}
}

// Write sends data.
func (e *Endpoint) Write(data []byte) { e.out = append(e.out, data...) }

// Finish ends the stream after what was written.
func (e *Endpoint) Finish() { e.finishing = true }

// PeerFinished reports whether the other end's stream has ended.
func (e *Endpoint) PeerFinished() bool { return e.finished }

// Closed reports whether both streams have ended and are confirmed.
func (e *Endpoint) Closed() bool { return e.finished && e.outDone }

// TimedOut reports whether the other end has confirmed nothing for too long.
func (e *Endpoint) TimedOut() bool { return e.repeats > mostRepeats }

// ExpectedSeq returns the number of the next byte that the other end is to send.
func (e *Endpoint) ExpectedSeq() uint32 { return e.expects }

// RetransmitAt returns when a packet is to be sent again, or the zero time.
func (e *Endpoint) RetransmitAt() time.Time {
	if e.una == e.next || e.TimedOut() {
		return time.Time{}
	}
	return e.again
}

// Receive takes in a packet of the other end and returns what comes next in its stream.
func (e *Endpoint) Receive(now time.Time, p platformsim.Packet) []byte {
	if p.Has(platformsim.Ack) {
		e.confirmed(now, p.Ack)
	}
	s := segment{data: append([]byte(nil), p.Data...), finish: p.Has(platformsim.Finish)}
	if len(s.data) == 0 && !s.finish {
		return nil
	}
	e.confirm = true
	e.early[p.Seq] = s
	var data []byte
	for more := true; more; {
		more = false
		for seq, s := range e.early {
			known := int32(e.expects - seq) // how many of its bytes were taken before
			if known < 0 {
				continue
			}
			delete(e.early, seq)
			if e.finished || int(known) > len(s.data) {
				continue
			}
			data = append(data, s.data[known:]...)
			e.expects += uint32(len(s.data)) - uint32(known)
			if s.finish {
				e.expects++
				e.finished = true
			}
			more = true
		}
	}
	return data
}

// confirmed notes that the other end has all bytes before the number.
func (e *Endpoint) confirmed(now time.Time, ack uint32) {
	n := ack - e.una
	if n == 0 || n > e.next-e.una {
		return
	}
	data := min(int(n), len(e.out))
	e.out, e.una = e.out[data:], ack
	e.outDone = e.outDone || int(n) > data
	e.wait, e.repeats, e.again = firstWait, 0, now.Add(firstWait)
}

// Poll returns the packets that are to be sent now.
func (e *Endpoint) Poll(now time.Time) []platformsim.Packet {
	var out []platformsim.Packet
	if e.una != e.next && !e.again.After(now) && !e.TimedOut() {
		e.repeats++
		e.wait = min(2*e.wait, longestWait)
		e.again = now.Add(e.wait)
		if e.TimedOut() {
			return nil
		}
		p, _ := e.packet(e.una, e.next)
		out = append(out, p)
	}
	for end := e.end(); e.next != end && e.next-e.una < window; {
		if e.next == e.una {
			e.again = now.Add(e.wait)
		}
		p, size := e.packet(e.next, end)
		e.next += size
		out = append(out, p)
	}
	if e.confirm && len(out) == 0 {
		out = append(out, e.header(e.next))
	}
	e.confirm = false
	return out
}

// end returns the number after the last one of the stream so far.
func (e *Endpoint) end() uint32 {
	n := e.una + uint32(len(e.out))
	if e.finishing && !e.outDone {
		n++
	}
	return n
}

// packet returns the packet that begins with a number and ends before another, and
// how many numbers it has.
func (e *Endpoint) packet(at, before uint32) (platformsim.Packet, uint32) {
	p := e.header(at)
	rest := e.out[at-e.una:]
	rest = rest[:min(len(rest), int(before-at), platformsim.MaxData)]
	p.Data = append([]byte(nil), rest...)
	size := uint32(len(rest))
	if e.finishing && !e.outDone && at+size+1 == e.end() && at+size != before {
		p.Flags |= platformsim.Finish
		size++
	}
	return p, size
}

func (e *Endpoint) header(seq uint32) platformsim.Packet {
	return platformsim.Packet{From: e.own, To: e.peer, Seq: seq, Ack: e.expects, Flags: platformsim.Ack}
}
