package gdroute

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

const (
	// rankHops is how often a packet in the middle of a flow is passed on along
	// its key's ranking. A flow that was opened while an upstream before its own
	// took no new flows is found by these hops.
	rankHops = 2
	// ringHops is how often it is passed on by identifier after that, which
	// reaches every upstream of a service of up to eight.
	ringHops = 7
	// MaxHops is how often agents pass one packet on.
	MaxHops = rankHops + ringHops
)

// FlowKey identifies a flow whose packets carry no token.
type FlowKey uint64

// NewFlowKey returns the key of the flow from a caller's address. The connection ID
// tells flows apart that share an address; it may be empty.
func NewFlowKey(caller netip.AddrPort, cid []byte) FlowKey {
	const maxCID = 20
	var buf [18 + maxCID]byte
	a := caller.Addr().As16()
	copy(buf[:], a[:])
	binary.BigEndian.PutUint16(buf[16:], caller.Port())
	n := copy(buf[18:], cid)
	return FlowKey(xxhash.Sum64(buf[:18+n]))
}

// Packet is what the cores need to know of a datagram.
type Packet struct {
	token    gdtoken.Token
	address  netip.AddrPort
	key      FlowKey
	service  gdconf.ServiceID
	hops     uint8
	hasToken bool
	opening  bool
}

// NewPacket returns a packet without a token in the middle of a flow.
func NewPacket(s gdconf.ServiceID, key FlowKey) Packet {
	return Packet{service: s, key: key}
}

// Opening returns the packet marked as one that may open a flow.
func (p Packet) Opening() Packet {
	p.opening = true
	return p
}

// WithToken returns the packet with a route token.
func (p Packet) WithToken(t gdtoken.Token) Packet {
	p.token = t
	p.hasToken = true
	return p
}

// WithAddress returns the packet with the service address at which it arrived.
func (p Packet) WithAddress(address netip.AddrPort) Packet {
	p.address = address
	return p
}

// WithHops returns the packet with the number of times that agents passed it on.
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

// Token returns the route token and whether there is one.
func (p Packet) Token() (gdtoken.Token, bool) { return p.token, p.hasToken }

// Address returns the service address at which the packet arrived, or the zero
// address.
func (p Packet) Address() netip.AddrPort { return p.address }

// Hops returns how often agents passed the packet on.
func (p Packet) Hops() uint8 { return p.hops }

// Verdict is what is to be done with a packet.
type Verdict uint8

const (
	// Drop is the verdict for a packet that goes nowhere.
	Drop Verdict = iota
	// Forward sends the packet to the decision's upstream.
	Forward
	// Accept hands the packet to the agent's own transport.
	Accept
	// Reset hands the packet to the agent's transport for an explicit end: the
	// flow belonged to an earlier incarnation of this agent.
	Reset
)

var verdictNames = [...]string{Drop: "drop", Forward: "forward", Accept: "accept", Reset: "reset"}

func (v Verdict) String() string { return verdictNames[v] }

// Reason says why a packet was dropped, or why it went where it went.
type Reason uint8

// The reasons. Their names are those of the packet counters and of the decision
// records.
const (
	ByToken Reason = iota
	ByRank
	Held
	PassedOn
	UnknownService
	UnknownUpstream
	WrongService
	DomainOut
	NoUpstream
	HopLimit
	UnknownFlow
	OldIncarnation
	NotReady
	Full

	reasons
)

var reasonNames = [reasons]string{
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

// NumReasons returns the number of reasons, for arrays of counters.
func NumReasons() int { return int(reasons) }

func (r Reason) String() string {
	if r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the verdict on one packet.
type Decision struct {
	upstream *gdconf.Upstream
	verdict  Verdict
	reason   Reason
}

// Verdict returns what is to be done with the packet.
func (d Decision) Verdict() Verdict { return d.verdict }

// Upstream returns where the packet goes, for Forward.
func (d Decision) Upstream() *gdconf.Upstream { return d.upstream }

// Reason returns why.
func (d Decision) Reason() Reason { return d.reason }

func drop(r Reason) Decision { return Decision{verdict: Drop, reason: r} }

func forward(u *gdconf.Upstream, r Reason) Decision {
	return Decision{verdict: Forward, upstream: u, reason: r}
}
