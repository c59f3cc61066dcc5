// Package gdhop encodes the messages between entry hosts and agents. Each message is
// sent as one datagram.
//
// # Usage
//
//	b := gdhop.AppendForward(buf[:0], header, opens)
//	b = append(b, packet...)
//
//	m, err := gdhop.Parse(datagram)
//	switch m.Type {
//	case gdhop.Forward:
//		... m.Header, m.Packet
//	}
//
// A message starts with the version of the format and its type. Numbers are
// big-endian. Parse rejects messages with missing or extra bytes. The slices in its
// result point into the datagram.
package gdhop

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// Version is the version of the format.
const Version = 3

// MaxOverhead is the maximum size of the part of a message before the packet, in bytes.
const MaxOverhead = forwardSize + statusSize + classSize

const (
	forwardSize = 8
	statusSize  = 28
	classSize   = 12
	returnSize  = 15
	noticeSize  = 6 + gdflow.KeySize
	querySize   = 8 + statusSize
	holdingSize = gdflow.KeySize + 1
)

// Type is the type of a message.
type Type uint8

// Types of messages.
const (
	// Forward carries a packet from an entry host to an agent.
	Forward Type = iota + 1
	// Status carries the status of the upstream to its agent, without a packet.
	Status
	// Return returns a packet to the entry host.
	Return
	// Accepted notifies an entry host that the upstream has accepted a flow.
	Accepted
	// Held notifies an entry host that the upstream holds a flow.
	Held
	// Query lists flows and requests a report on each: whether the upstream holds it.
	Query
	// QueryReply is the reply to a Query.
	QueryReply
)

// Flags of Forward messages and of the status.
const (
	flagOpens = 1 << iota
	flagForced
	flagConfirm
	flagAcceptsNew
	flagUrgent
)

// flagExact is a flag in the fourth byte of Forward and Query messages, which older builds send as
// 0 and ignore. Without it, an agent's answer has only values that these builds know.
const flagExact = 1

// The upper bits of the flags of a status have the age of the view. Processes that don't know them
// send 0.
const (
	viewAgeShift = 4
	viewAgeUnit  = 100 * time.Millisecond
	oldViewCode  = 1<<viewAgeShift - 1
	// oldViewAge is what the last code stands for: older than the others.
	oldViewAge = time.Hour
)

// viewAgeCode returns the code of the age, rounded up.
func viewAgeCode(age time.Duration) byte {
	return byte(min((max(age, 0)+viewAgeUnit-1)/viewAgeUnit, oldViewCode))
}

func parseViewAge(code byte) time.Duration {
	if code == oldViewCode {
		return oldViewAge
	}
	return time.Duration(code) * viewAgeUnit
}

// flagIdempotent is a flag of the route's class.
const flagIdempotent = 1

// Message is a decoded message.
type Message struct {
	// Packet is the packet of Forward and Return.
	Packet []byte
	// Header is set for Forward. For Status and Query, only its Service and Status are
	// set, and Exact for Query.
	Header gdguard.Header
	// Keys are the flows of Query and QueryReply, and Holdings what the agent reports
	// about them.
	Keys     []gdflow.Key
	Holdings []gdguard.Holding
	// Key is the flow of Accepted and Held.
	Key gdflow.Key
	// Revision is the highest revision that the agent has observed, for Return and
	// QueryReply.
	Revision gddiscovery.Revision
	// Load is the number of requests in progress at the upstream, and Wait how long a new one
	// would wait for a slot, for Return, Accepted and Held.
	Load   uint16
	Wait   time.Duration
	Type   Type
	Reason gdguard.Reason
}

// AppendForward appends a Forward message up to its packet. opens means that the packet
// opens a flow; the message then contains the status of the upstream and the class of the
// route.
func AppendForward(b []byte, h gdguard.Header, opens bool) []byte {
	var flags byte
	if opens {
		flags |= flagOpens
	}
	if h.Forced {
		flags |= flagForced
	}
	if h.Urgent {
		flags |= flagUrgent
	}
	if h.Confirm {
		flags |= flagConfirm
	}
	var answer byte
	if h.Exact {
		answer |= flagExact
	}
	b = append(b, Version, byte(Forward), flags, answer)
	b = binary.BigEndian.AppendUint32(b, h.Service)
	if opens {
		b = appendClass(appendStatus(b, h.Status), h)
	}
	return b
}

func appendClass(b []byte, h gdguard.Header) []byte {
	var flags byte
	if h.Class.Idempotent {
		flags |= flagIdempotent
	}
	b = append(b, h.Class.Priority, flags)
	b = binary.BigEndian.AppendUint16(b, h.Origin)
	b = appendMillis(b, h.Class.Objective)
	return appendMillis(b, h.Class.Timeout)
}

// appendMillis appends a duration in milliseconds. A negative one is encoded as 0.
func appendMillis(b []byte, d time.Duration) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(min(max(d, 0)/time.Millisecond, math.MaxUint32)))
}

func parseMillis(b []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint32(b)) * time.Millisecond
}

// AppendStatus appends a Status message.
func AppendStatus(b []byte, service uint32, s gdguard.UpstreamStatus) []byte {
	b = append(b, Version, byte(Status), flagOpens, 0)
	b = binary.BigEndian.AppendUint32(b, service)
	return appendStatus(b, s)
}

func appendStatus(b []byte, s gdguard.UpstreamStatus) []byte {
	var flags byte
	if s.AcceptsNew {
		flags |= flagAcceptsNew
	}
	flags |= viewAgeCode(s.ViewAge) << viewAgeShift
	b = binary.BigEndian.AppendUint64(b, uint64(s.Revision))
	b = append(b, flags, s.Slots)
	b = binary.BigEndian.AppendUint16(b, s.ColdFlowsPerSecond)
	b = appendMillis(b, s.ColdLeft)
	b = binary.BigEndian.AppendUint64(b, uint64(s.StartUnixMilli))
	return appendMillis(b, s.ColdFor)
}

// AppendReturn appends a Return message up to its packet.
func AppendReturn(b []byte, r gdguard.Reason, load int, wait time.Duration, revision gddiscovery.Revision) []byte {
	b = append(b, Version, byte(Return), byte(r))
	b = binary.BigEndian.AppendUint16(b, clamp(load))
	b = binary.BigEndian.AppendUint16(b, clamp(int(wait/time.Millisecond)))
	return binary.BigEndian.AppendUint64(b, uint64(revision))
}

// AppendFlowNotice appends an Accepted or Held message.
func AppendFlowNotice(b []byte, t Type, k gdflow.Key, load int, wait time.Duration) []byte {
	b = append(b, Version, byte(t))
	b = binary.BigEndian.AppendUint16(b, clamp(load))
	b = binary.BigEndian.AppendUint16(b, clamp(int(wait/time.Millisecond)))
	return k.AppendTo(b)
}

// AppendQuery appends a Query message about flows of a service, at most
// gdguard.MaxQueryFlows.
func AppendQuery(b []byte, service uint32, s gdguard.UpstreamStatus, keys []gdflow.Key) []byte {
	b = append(b, Version, byte(Query), byte(len(keys)), flagExact)
	b = binary.BigEndian.AppendUint32(b, service)
	b = appendStatus(b, s)
	for _, k := range keys {
		b = k.AppendTo(b)
	}
	return b
}

// AppendQueryReply appends a QueryReply message up to its flows, which AppendHolding
// appends.
func AppendQueryReply(b []byte, revision gddiscovery.Revision) []byte {
	b = append(b, Version, byte(QueryReply))
	return binary.BigEndian.AppendUint64(b, uint64(revision))
}

// AppendHolding appends one flow, and what the agent reports about it, to a QueryReply
// message.
func AppendHolding(b []byte, k gdflow.Key, h gdguard.Holding) []byte {
	return append(k.AppendTo(b), byte(h))
}

func clamp(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// ParseFrom decodes a message and checks its sender. Hosts send from the port at which
// they receive.
func ParseFrom(b []byte, from netip.AddrPort, port uint16) (gdflow.Address, Message, error) {
	host, ok := gdflow.AddressFromAddrPort(from)
	if !ok || from.Port() != port {
		return host, Message{}, errors.Errorf("decode message from %s: want port %d of an IPv4 address", from, port)
	}
	m, err := Parse(b)
	return host, m, err
}

// Parse decodes a message.
func Parse(b []byte) (Message, error) {
	if len(b) < 2 {
		return Message{}, errors.Errorf("decode message: %d bytes are too short for a type", len(b))
	}
	if b[0] != Version {
		return Message{}, errors.Errorf("decode message: version %d, want %d", b[0], Version)
	}
	m := Message{Type: Type(b[1])}
	switch m.Type {
	case Forward, Status:
		return m.parseForward(b)
	case Return:
		return m.parseReturn(b)
	case Accepted, Held:
		return m.parseNotice(b)
	case Query:
		return m.parseQuery(b)
	case QueryReply:
		return m.parseQueryReply(b)
	}
	return Message{}, errors.Errorf("decode message: unknown type %d", b[1])
}

func (m Message) parseForward(b []byte) (Message, error) {
	if len(b) < forwardSize {
		return Message{}, shortError(b, forwardSize)
	}
	flags := b[2]
	m.Header.Forced, m.Header.Confirm = flags&flagForced != 0, flags&flagConfirm != 0
	m.Header.Urgent, m.Header.Exact = flags&flagUrgent != 0, b[3]&flagExact != 0
	m.Header.Service = binary.BigEndian.Uint32(b[4:])
	b = b[forwardSize:]
	if flags&flagOpens != 0 {
		if len(b) < statusSize {
			return Message{}, shortError(b, statusSize)
		}
		m.Header.Status = parseStatus(b)
		b = b[statusSize:]
		if m.Type == Forward {
			if len(b) < classSize {
				return Message{}, shortError(b, classSize)
			}
			parseClass(b, &m.Header)
			b = b[classSize:]
		}
	}
	if m.Type == Status && (flags&flagOpens == 0 || len(b) > 0) {
		return Message{}, errors.New("decode status message: it carries a packet or no status")
	}
	m.Packet = b
	return m, nil
}

func parseStatus(b []byte) gdguard.UpstreamStatus {
	return gdguard.UpstreamStatus{
		Revision:           gddiscovery.Revision(binary.BigEndian.Uint64(b)),
		AcceptsNew:         b[8]&flagAcceptsNew != 0,
		ViewAge:            parseViewAge(b[8] >> viewAgeShift),
		Slots:              b[9],
		ColdFlowsPerSecond: binary.BigEndian.Uint16(b[10:]),
		ColdLeft:           parseMillis(b[12:]),
		StartUnixMilli:     int64(binary.BigEndian.Uint64(b[16:])),
		ColdFor:            parseMillis(b[24:]),
	}
}

func parseClass(b []byte, h *gdguard.Header) {
	h.Class = gdguard.RouteClass{
		Priority: b[0], Idempotent: b[1]&flagIdempotent != 0, Objective: parseMillis(b[4:]), Timeout: parseMillis(b[8:]),
	}
	h.Origin = binary.BigEndian.Uint16(b[2:])
}

func (m Message) parseReturn(b []byte) (Message, error) {
	if len(b) < returnSize {
		return Message{}, shortError(b, returnSize)
	}
	m.Reason = gdguard.Reason(b[2])
	if m.Reason == 0 || int(m.Reason) >= gdguard.NumReasons() {
		return Message{}, errors.Errorf("decode returned packet: unknown reason %d", b[2])
	}
	m.Load = binary.BigEndian.Uint16(b[3:])
	m.Wait = time.Duration(binary.BigEndian.Uint16(b[5:])) * time.Millisecond
	m.Revision = gddiscovery.Revision(binary.BigEndian.Uint64(b[7:]))
	m.Packet = b[returnSize:]
	return m, nil
}

func (m Message) parseNotice(b []byte) (Message, error) {
	if len(b) != noticeSize {
		return Message{}, errors.Errorf("decode flow notice: %d bytes, want %d", len(b), noticeSize)
	}
	m.Load = binary.BigEndian.Uint16(b[2:])
	m.Wait = time.Duration(binary.BigEndian.Uint16(b[4:])) * time.Millisecond
	m.Key, _ = gdflow.ParseKey(b[6:])
	return m, nil
}

func (m Message) parseQuery(b []byte) (Message, error) {
	if len(b) < querySize {
		return Message{}, shortError(b, querySize)
	}
	n := int(b[2])
	if n > gdguard.MaxQueryFlows || len(b) != querySize+n*gdflow.KeySize {
		return Message{}, errors.Errorf("decode query: %d bytes don't match a count of %d flows", len(b), n)
	}
	m.Header.Service, m.Header.Exact = binary.BigEndian.Uint32(b[4:]), b[3]&flagExact != 0
	m.Header.Status = parseStatus(b[querySize-statusSize:])
	for b = b[querySize:]; len(b) > 0; b = b[gdflow.KeySize:] {
		k, _ := gdflow.ParseKey(b)
		m.Keys = append(m.Keys, k)
	}
	return m, nil
}

func (m Message) parseQueryReply(b []byte) (Message, error) {
	const headerSize = 10
	if len(b) < headerSize || (len(b)-headerSize)%holdingSize != 0 || len(b) > headerSize+gdguard.MaxQueryFlows*holdingSize {
		return Message{}, errors.Errorf("decode query reply: invalid size of %d bytes", len(b))
	}
	m.Revision = gddiscovery.Revision(binary.BigEndian.Uint64(b[2:]))
	for b = b[headerSize:]; len(b) > 0; b = b[holdingSize:] {
		k, _ := gdflow.ParseKey(b)
		h := gdguard.Holding(b[gdflow.KeySize])
		if int(h) >= gdguard.NumHoldings() {
			return Message{}, errors.Errorf("decode query reply: unknown holding %d of flow %s", h, k)
		}
		m.Keys, m.Holdings = append(m.Keys, k), append(m.Holdings, h)
	}
	return m, nil
}

func shortError(b []byte, want int) error {
	return errors.Errorf("decode message: %d bytes, shorter than %d", len(b), want)
}
