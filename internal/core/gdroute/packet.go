package gdroute

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

const (
	// maxRankHops limits how often agents forward a packet in the middle of a flow
	// along its key's ranking. These hops find a flow that was opened while an
	// upstream ranked before its own accepted no new flows.
	maxRankHops = 2
	// maxIDHops limits how often such a packet is then forwarded by identifier.
	// Seven hops reach every upstream of a service of up to eight.
	maxIDHops = 7
	// MaxHops limits how often agents forward one packet.
	MaxHops = maxRankHops + maxIDHops
)

// FlowKey identifies a flow whose packets carry no route token.
type FlowKey uint64

// NewFlowKey returns the key of a flow from the caller's address. The connection ID
// distinguishes flows that share an address; it may be empty.
func NewFlowKey(caller netip.AddrPort, cid []byte) FlowKey {
	const maxCID = 20
	var buf [18 + maxCID]byte
	a := caller.Addr().As16()
	copy(buf[:], a[:])
	binary.BigEndian.PutUint16(buf[16:], caller.Port())
	n := copy(buf[18:], cid)
	return FlowKey(xxhash.Sum64(buf[:18+n]))
}

// Packet holds the properties of a datagram that routing depends on.
type Packet struct {
	token    gdtoken.Token
	address  netip.AddrPort
	key      FlowKey
	service  gdconf.ServiceID
	hops     uint8
	hasToken bool
	opening  bool
}

// NewPacket returns a packet in the middle of a flow, without a token.
func NewPacket(s gdconf.ServiceID, key FlowKey) Packet {
	return Packet{service: s, key: key}
}

// Opening returns a copy of the packet that may open a flow.
func (p Packet) Opening() Packet {
	p.opening = true
	return p
}

// WithToken returns a copy of the packet with a route token.
func (p Packet) WithToken(t gdtoken.Token) Packet {
	p.token = t
	p.hasToken = true
	return p
}

// WithAddress returns a copy of the packet with the service address at which it
// arrived.
func (p Packet) WithAddress(address netip.AddrPort) Packet {
	p.address = address
	return p
}

// WithHops returns a copy of the packet with the number of times that agents
// forwarded it.
func (p Packet) WithHops(n uint8) Packet {
	p.hops = n
	return p
}

// Service returns the service at whose address the packet arrived.
func (p Packet) Service() gdconf.ServiceID { return p.service }

// MayOpen reports whether the packet may open a flow.
func (p Packet) MayOpen() bool { return p.opening }

// Key returns the flow key.
func (p Packet) Key() FlowKey { return p.key }

// Token returns the route token and whether the packet carries one.
func (p Packet) Token() (gdtoken.Token, bool) { return p.token, p.hasToken }

// Address returns the service address at which the packet arrived, or the zero
// address.
func (p Packet) Address() netip.AddrPort { return p.address }

// Hops returns the number of times that agents forwarded the packet.
func (p Packet) Hops() uint8 { return p.hops }

// Verdict says what to do with a packet.
type Verdict uint8

const (
	// Drop discards the packet.
	Drop Verdict = iota
	// Forward sends the packet to the decision's upstream.
	Forward
	// Accept passes the packet to the agent's transport.
	Accept
	// Reset passes the packet to the agent's transport, which closes the flow
	// explicitly: it belonged to an earlier incarnation of this agent.
	Reset
)

var verdictNames = [...]string{Drop: "drop", Forward: "forward", Accept: "accept", Reset: "reset"}

func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Reason says why a packet was dropped, or how its destination was chosen.
type Reason uint8

// Reasons of decisions. Their String texts name the packet counters and appear in
// the decision records.
const (
	// ByToken: the packet's route token names the upstream.
	ByToken Reason = iota
	// ByRank: the ranking of the packet's key determines the upstream.
	ByRank
	// Held: the agent holds the packet's flow.
	Held
	// PassedOn: the agent forwards the packet to another agent.
	PassedOn
	// UnknownService: the view does not contain the packet's service.
	UnknownService
	// UnknownUpstream: the view does not contain the upstream.
	UnknownUpstream
	// WrongService: the upstream, the token or the address belongs to another service.
	WrongService
	// DomainOut: the failure domain of the upstream, or of all upstreams, is out of
	// service.
	DomainOut
	// NoUpstream: no upstream accepts new flows.
	NoUpstream
	// HopLimit: agents have already forwarded the packet MaxHops times.
	HopLimit
	// UnknownFlow: the agent does not hold the flow, and no upstream is left to try.
	UnknownFlow
	// OldIncarnation: the token was issued by an earlier process of the agent.
	OldIncarnation
	// NotReady: there is no view yet, or it is not confirmed after a pause.
	NotReady
	// Full: the agent holds the maximum number of flows, and no other one accepts the flow.
	Full

	numReasons
)

var reasonNames = [numReasons]string{
	ByToken:         "by-token",
	ByRank:          "by-rank",
	Held:            "held",
	PassedOn:        "passed-on",
	UnknownService:  "unknown-service",
	UnknownUpstream: "unknown-upstream",
	WrongService:    "wrong-service",
	DomainOut:       "domain-out",
	NoUpstream:      "no-upstream",
	HopLimit:        "hop-limit",
	UnknownFlow:     "unknown-flow",
	OldIncarnation:  "old-incarnation",
	NotReady:        "not-ready",
	Full:            "full",
}

// NumReasons returns the number of reasons, as the size of arrays of counters.
func NumReasons() int { return int(numReasons) }

func (r Reason) String() string {
	if r >= numReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the result of a check of one packet.
type Decision struct {
	upstream *gdconf.Upstream
	verdict  Verdict
	reason   Reason
}

// Verdict returns what to do with the packet.
func (d Decision) Verdict() Verdict { return d.verdict }

// Upstream returns the destination of a packet with the verdict Forward.
func (d Decision) Upstream() *gdconf.Upstream { return d.upstream }

// Reason returns the reason of the decision.
func (d Decision) Reason() Reason { return d.reason }

func drop(r Reason) Decision { return Decision{verdict: Drop, reason: r} }

func forward(u *gdconf.Upstream, r Reason) Decision {
	return Decision{verdict: Forward, upstream: u, reason: r}
}
