// Package gdhop encodes what entry hosts and agents send each other, one message
// a datagram.
//
// # Usage
//
//	b := gdhop.AppendCarry(buf[:0], carry, opens)
//	b = append(b, packet...)
//
//	m, err := gdhop.Parse(datagram)
//	switch m.Type {
//	case gdhop.Carry:
//		... m.Carry, m.Packet
//	}
//
// A message starts with the version of the format and its type. Numbers are
// big-endian. Parse accepts nothing that it can't read to the last byte, and what
// it returns refers to the datagram.
package gdhop

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// Version is the version of the format.
const Version = 2

// MaxOverhead is the length of the longest message without its packet, in bytes.
const MaxOverhead = carrySize + standingSize

const (
	carrySize    = 8
	standingSize = 28
	answerSize   = 13
	noteSize     = 4 + gdflow.KeySize
	questionSize = 8 + standingSize
	sayingSize   = gdflow.KeySize + 1
)

// Type is what a message is.
type Type uint8

// The types of messages.
const (
	// Forward brings a packet from an entry host to an agent.
	Forward Type = iota + 1
	// Status tells an agent of its upstream, without a packet.
	Status
	// Return brings a packet back.
	Return
	// Accepted tells an entry host that the upstream accepted a flow.
	Accepted
	// Held tells an entry host that the upstream holds a flow.
	Held
	// Query asks an agent which of some flows its upstream holds.
	Query
	// QueryReply is the answer.
	QueryReply
)

// The flags of Carry.
const (
	flagOpens = 1 << iota
	flagForced
	flagConfirm
	flagTakesNew
	flagUrgent
)

// Message is a decoded message.
type Message struct {
	// Packet is the packet of Carry and Return.
	Packet []byte
	// Header is set for Header, and its Service and Standing also for Standing and
	// Question.
	Header gdguard.Header
	// Keys are the flows of Question and Sayings, and Says what the agent says about
	// each.
	Keys     []gdflow.Key
	Holdings []gdguard.Holding
	// Key is the flow of Accepted and Held.
	Key gdflow.Key
	// Revision is the highest one that the agent has seen, for Return.
	Revision uint64
	// Load is how many requests the upstream works on, for answers.
	Load   uint16
	Type   Type
	Reason gdguard.Reason
}

// AppendForward appends the part of Carry before the packet.
func AppendForward(b []byte, c gdguard.Header, opens bool) []byte {
	var flags byte
	if opens {
		flags |= flagOpens
	}
	if c.Forced {
		flags |= flagForced
	}
	if c.Urgent {
		flags |= flagUrgent
	}
	if c.Confirm {
		flags |= flagConfirm
	}
	b = append(b, Version, byte(Forward), flags, 0)
	b = binary.BigEndian.AppendUint32(b, c.Service)
	if opens {
		b = appendStanding(b, c.Status)
	}
	return b
}

// AppendStatus appends a Standing.
func AppendStatus(b []byte, service uint32, s gdguard.UpstreamStatus) []byte {
	b = append(b, Version, byte(Status), flagOpens, 0)
	b = binary.BigEndian.AppendUint32(b, service)
	return appendStanding(b, s)
}

func appendStanding(b []byte, s gdguard.UpstreamStatus) []byte {
	var flags byte
	if s.AcceptsNew {
		flags |= flagTakesNew
	}
	b = binary.BigEndian.AppendUint64(b, s.Revision)
	b = append(b, flags, s.Slots)
	b = binary.BigEndian.AppendUint16(b, s.ColdFlowsPerSecond)
	b = binary.BigEndian.AppendUint32(b, uint32(max(s.ColdLeft, 0)/time.Millisecond))
	b = binary.BigEndian.AppendUint64(b, uint64(s.StartUnixMilli))
	return binary.BigEndian.AppendUint32(b, uint32(max(s.ColdFor, 0)/time.Millisecond))
}

// AppendReturn appends the part of Return before the packet.
func AppendReturn(b []byte, r gdguard.Reason, load int, revision uint64) []byte {
	b = append(b, Version, byte(Return), byte(r))
	b = binary.BigEndian.AppendUint16(b, clamp(load))
	return binary.BigEndian.AppendUint64(b, revision)
}

// AppendFlowNotice appends an Accepted or Held.
func AppendFlowNotice(b []byte, t Type, k gdflow.Key, load int) []byte {
	b = append(b, Version, byte(t))
	b = binary.BigEndian.AppendUint16(b, clamp(load))
	return k.AppendTo(b)
}

// AppendQuery appends a Question about flows of a service, at most
// gdguard.MostAsked.
func AppendQuery(b []byte, service uint32, s gdguard.UpstreamStatus, keys []gdflow.Key) []byte {
	b = append(b, Version, byte(Query), byte(len(keys)), 0)
	b = binary.BigEndian.AppendUint32(b, service)
	b = appendStanding(b, s)
	for _, k := range keys {
		b = k.AppendTo(b)
	}
	return b
}

// AppendQueryReply appends a Sayings without its flows, which AppendSaying appends.
func AppendQueryReply(b []byte, revision uint64) []byte {
	b = append(b, Version, byte(QueryReply))
	return binary.BigEndian.AppendUint64(b, revision)
}

// AppendHolding appends what the agent says about a flow.
func AppendHolding(b []byte, k gdflow.Key, h gdguard.Holding) []byte {
	return append(k.AppendTo(b), byte(h))
}

func clamp(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// ParseFrom decodes a message that came from a host, whose messages come from the port
// at which it takes them.
func ParseFrom(b []byte, from netip.AddrPort, port uint16) (gdflow.Address, Message, error) {
	host, ok := gdflow.AddressFromAddrPort(from)
	if !ok || from.Port() != port {
		return host, Message{}, errors.Errorf("message from %s, want port %d of an IPv4 address", from, port)
	}
	m, err := Parse(b)
	return host, m, err
}

// Parse decodes a message.
func Parse(b []byte) (Message, error) {
	if len(b) < 2 {
		return Message{}, errors.Errorf("message of %d bytes has no type", len(b))
	}
	if b[0] != Version {
		return Message{}, errors.Errorf("message of version %d, want %d", b[0], Version)
	}
	m := Message{Type: Type(b[1])}
	switch m.Type {
	case Forward, Status:
		return m.parseCarry(b)
	case Return:
		return m.parseReturn(b)
	case Accepted, Held:
		return m.parseNote(b)
	case Query:
		return m.parseQuestion(b)
	case QueryReply:
		return m.parseSayings(b)
	}
	return Message{}, errors.Errorf("message of unknown type %d", b[1])
}

func (m Message) parseCarry(b []byte) (Message, error) {
	if len(b) < carrySize {
		return Message{}, short(b, carrySize)
	}
	flags := b[2]
	m.Header.Forced, m.Header.Confirm = flags&flagForced != 0, flags&flagConfirm != 0
	m.Header.Urgent = flags&flagUrgent != 0
	m.Header.Service = binary.BigEndian.Uint32(b[4:])
	b = b[carrySize:]
	if flags&flagOpens != 0 {
		if len(b) < standingSize {
			return Message{}, short(b, standingSize)
		}
		m.Header.Status = parseStanding(b)
		b = b[standingSize:]
	}
	if m.Type == Status && (flags&flagOpens == 0 || len(b) > 0) {
		return Message{}, errors.New("standing message carries a packet or no standing")
	}
	m.Packet = b
	return m, nil
}

func parseStanding(b []byte) gdguard.UpstreamStatus {
	return gdguard.UpstreamStatus{
		Revision:           binary.BigEndian.Uint64(b),
		AcceptsNew:         b[8]&flagTakesNew != 0,
		Slots:              b[9],
		ColdFlowsPerSecond: binary.BigEndian.Uint16(b[10:]),
		ColdLeft:           time.Duration(binary.BigEndian.Uint32(b[12:])) * time.Millisecond,
		StartUnixMilli:     int64(binary.BigEndian.Uint64(b[16:])),
		ColdFor:            time.Duration(binary.BigEndian.Uint32(b[24:])) * time.Millisecond,
	}
}

func (m Message) parseReturn(b []byte) (Message, error) {
	if len(b) < answerSize {
		return Message{}, short(b, answerSize)
	}
	m.Reason = gdguard.Reason(b[2])
	if m.Reason == 0 || int(m.Reason) >= gdguard.NumReasons() {
		return Message{}, errors.Errorf("returned packet with unknown reason %d", b[2])
	}
	m.Load = binary.BigEndian.Uint16(b[3:])
	m.Revision = binary.BigEndian.Uint64(b[5:])
	m.Packet = b[answerSize:]
	return m, nil
}

func (m Message) parseNote(b []byte) (Message, error) {
	if len(b) != noteSize {
		return Message{}, errors.Errorf("note of %d bytes, want %d", len(b), noteSize)
	}
	m.Load = binary.BigEndian.Uint16(b[2:])
	m.Key, _ = gdflow.ParseKey(b[4:])
	return m, nil
}

func (m Message) parseQuestion(b []byte) (Message, error) {
	if len(b) < questionSize {
		return Message{}, short(b, questionSize)
	}
	n := int(b[2])
	if n > gdguard.MaxQueryFlows || len(b) != questionSize+n*gdflow.KeySize {
		return Message{}, errors.Errorf("question of %d bytes says that it has %d flows", len(b), n)
	}
	m.Header.Service = binary.BigEndian.Uint32(b[4:])
	m.Header.Status = parseStanding(b[questionSize-standingSize:])
	for b = b[questionSize:]; len(b) > 0; b = b[gdflow.KeySize:] {
		k, _ := gdflow.ParseKey(b)
		m.Keys = append(m.Keys, k)
	}
	return m, nil
}

func (m Message) parseSayings(b []byte) (Message, error) {
	const head = 10
	if len(b) < head || (len(b)-head)%sayingSize != 0 || len(b) > head+gdguard.MaxQueryFlows*sayingSize {
		return Message{}, errors.Errorf("sayings of %d bytes", len(b))
	}
	m.Revision = binary.BigEndian.Uint64(b[2:])
	for b = b[head:]; len(b) > 0; b = b[sayingSize:] {
		k, _ := gdflow.ParseKey(b)
		h := gdguard.Holding(b[gdflow.KeySize])
		if int(h) >= gdguard.NumHoldings() {
			return Message{}, errors.Errorf("unknown saying %d about flow %s", h, k)
		}
		m.Keys, m.Holdings = append(m.Keys, k), append(m.Holdings, h)
	}
	return m, nil
}

func short(b []byte, want int) error {
	return errors.Errorf("message part of %d bytes is shorter than %d", len(b), want)
}
