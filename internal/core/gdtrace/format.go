package gdtrace

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

// Format is the name and version of the format, as written in each header.
const Format = "godwitdrift-trace-1"

// Role is the kind of core that a recorded process runs.
type Role string

// The roles.
const (
	RoleBalancer     Role = "balancer"
	RolePacketFilter Role = "door"
	RoleAdmission    Role = "admission"
	RoleAtMostOnce   Role = "at-most-once"
)

// Header starts a trace.
type Header struct {
	Format string `cbor:"1,keyasint"`
	// Name describes the trace.
	Name string `cbor:"2,keyasint"`
	// Start is the time to which the events' times are relative, in nanoseconds of
	// Unix time.
	Start int64 `cbor:"3,keyasint"`
	// Deployment is the first configuration in TOML. It is not active at any
	// process before the process's first event of KindView.
	Deployment string `cbor:"4,keyasint"`
	// Processes are the recorded cores.
	Processes []Process `cbor:"5,keyasint"`
}

// Process is one recorded core.
type Process struct {
	Name string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	// Upstream and Incarnation identify the process of an agent.
	Upstream    gdconf.UpstreamID `cbor:"3,keyasint,omitempty"`
	Incarnation uint32            `cbor:"4,keyasint,omitempty"`
	// Seed is the seed of the core's random source.
	Seed uint64 `cbor:"5,keyasint,omitempty"`
	// Slots is the number of slots, for RoleAdmission.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Peers are the upstreams to which the process may relay, for RoleAdmission.
	Peers []gdconf.UpstreamID `cbor:"7,keyasint,omitempty"`
}

// Kind is the kind of an event.
type Kind string

// The kinds, with the values of the roles to which they apply in brackets.
const (
	// KindConfiguration publishes a configuration; it does not apply to a process.
	KindConfiguration Kind = "configuration"
	// KindView makes a published revision the active one [balancer, door,
	// at-most-once].
	KindView Kind = "view"
	// KindBlock starts a period in which a process does not know whether its view
	// is still valid, and KindUnblock ends it [balancer, door].
	KindBlock   Kind = "block"
	KindUnblock Kind = "unblock"
	// KindStopping, KindFull and KindBusy report that an agent is shutting down,
	// that it holds its maximum number of flows, and that its upstream has no free
	// capacity [door].
	KindStopping Kind = "stopping"
	KindFull     Kind = "full"
	KindBusy     Kind = "busy"
	// KindPacket is the arrival of a packet [balancer, door].
	KindPacket Kind = "packet"
	// KindEnd is the end of a flow without a token [door].
	KindEnd Kind = "end"
	// KindRequest is the arrival of a request [admission, at-most-once].
	KindRequest Kind = "request"
	// KindHeader is the response header of a started request [admission].
	KindHeader Kind = "header"
	// KindFinish is the end of a started request [admission, at-most-once].
	KindFinish Kind = "finish"
	// KindRetry requests the decision on a request that was not served
	// [admission].
	KindRetry Kind = "retry"
	// KindCancel is the cancellation of a request by its caller [admission].
	KindCancel Kind = "cancel"
	// KindMode changes the mode of the agent [admission].
	KindMode Kind = "mode"
	// KindSlots changes the number of slots of the upstream [admission].
	KindSlots Kind = "slots"
	// KindProbe is the result of a health check [admission].
	KindProbe Kind = "probe"
	// KindPeerLoad is the load that a peer reported [admission].
	KindPeerLoad Kind = "peer-load"
	// KindTick is a timer event [admission, at-most-once].
	KindTick Kind = "tick"
	// KindIssue requests an issued key [at-most-once].
	KindIssue Kind = "issue"
	// KindRelayed is the result of a relay [at-most-once].
	KindRelayed Kind = "relayed"
	// KindQuery is a peer's query and KindReply a peer's reply [at-most-once].
	KindQuery Kind = "question"
	KindReply Kind = "answer"
	// KindRelease is a peer's release of a grant [at-most-once].
	KindRelease Kind = "release"
	// KindNotice is a peer's notice of a completed run [at-most-once].
	KindNotice Kind = "notice"
)

// Event is one input of a process, with its outcomes.
type Event struct {
	// At is the time since the header's start.
	At time.Duration `cbor:"1,keyasint"`
	// Process is the index of the process in the header, from 0.
	Process int  `cbor:"2,keyasint"`
	Kind    Kind `cbor:"3,keyasint"`
	// Deployment is the configuration in TOML, for KindConfiguration.
	Deployment string `cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the configuration, for KindView.
	Revision uint64    `cbor:"5,keyasint,omitempty"`
	Packet   *Packet   `cbor:"6,keyasint,omitempty"`
	Request  *Request  `cbor:"7,keyasint,omitempty"`
	Finish   *Finish   `cbor:"8,keyasint,omitempty"`
	PeerLoad *PeerLoad `cbor:"9,keyasint,omitempty"`
	// Mode is the name of the mode, for KindMode.
	Mode string `cbor:"10,keyasint,omitempty"`
	// Peer is the peer that queried, replied or reported.
	Peer   gdconf.UpstreamID `cbor:"11,keyasint,omitempty"`
	Query  *gddedup.Query    `cbor:"12,keyasint,omitempty"`
	Reply  *gddedup.Reply    `cbor:"13,keyasint,omitempty"`
	Notice *gddedup.Notice   `cbor:"14,keyasint,omitempty"`
	// On is the new state, for KindFull, KindBusy and KindProbe.
	On bool `cbor:"15,keyasint,omitempty"`
	// Slots is the number of slots, for KindSlots.
	Slots int `cbor:"16,keyasint,omitempty"`
	// Outcomes are the observed actions, in order.
	Outcomes []Outcome `cbor:"17,keyasint,omitempty"`
}

// Packet is a packet in the form that a routing core receives.
type Packet struct {
	Service gdconf.ServiceID `cbor:"1,keyasint"`
	Key     gdroute.FlowKey  `cbor:"2,keyasint,omitempty"`
	Opening bool             `cbor:"3,keyasint,omitempty"`
	Hops    uint8            `cbor:"4,keyasint,omitempty"`
	// Address is the service address at which the packet arrived, or empty.
	Address string `cbor:"5,keyasint,omitempty"`
	Token   *Token `cbor:"6,keyasint,omitempty"`
}

// Token is a decoded route token.
type Token struct {
	Service     gdconf.ServiceID  `cbor:"1,keyasint"`
	Upstream    gdconf.UpstreamID `cbor:"2,keyasint"`
	Incarnation uint32            `cbor:"3,keyasint"`
	Serial      uint32            `cbor:"4,keyasint"`
}

// NewPacket returns the record of a packet.
func NewPacket(p gdroute.Packet) *Packet {
	out := &Packet{Service: p.Service(), Key: p.Key(), Opening: p.MayOpen(), Hops: p.Hops()}
	if p.Address().IsValid() {
		out.Address = p.Address().String()
	}
	if t, ok := p.Token(); ok {
		out.Token = &Token{t.Service(), t.Upstream(), t.Incarnation(), t.Serial()}
	}
	return out
}

// packet returns the packet in the form that the core receives.
func (p *Packet) packet() (gdroute.Packet, error) {
	out := gdroute.NewPacket(p.Service, p.Key).WithHops(p.Hops)
	if p.Opening {
		out = out.Opening()
	}
	if t := p.Token; t != nil {
		out = out.WithToken(gdtoken.New(t.Service, t.Upstream, t.Incarnation, t.Serial))
	}
	if p.Address == "" {
		return out, nil
	}
	a, err := netip.ParseAddrPort(p.Address)
	return out.WithAddress(a), err
}

// Request is the arrival of a request, for either core of an agent.
type Request struct {
	ID uint64 `cbor:"1,keyasint"`
	// Priority, Deadline and the flags below are for the admission core. Deadline
	// is relative to the header's start; zero means none.
	Priority    int           `cbor:"2,keyasint,omitempty"`
	Deadline    time.Duration `cbor:"3,keyasint,omitempty"`
	Repeatable  bool          `cbor:"4,keyasint,omitempty"`
	Established bool          `cbor:"5,keyasint,omitempty"`
	Stream      bool          `cbor:"6,keyasint,omitempty"`
	// Hops is the number of times the request was relayed, for either core.
	Hops int `cbor:"7,keyasint,omitempty"`
	// Service, Key and Digest are for the deduplication core.
	Service gdconf.ServiceID `cbor:"8,keyasint,omitempty"`
	Key     string           `cbor:"9,keyasint,omitempty"`
	Digest  uint64           `cbor:"10,keyasint,omitempty"`
}

// Finish is the end of a request.
type Finish struct {
	ID uint64 `cbor:"1,keyasint"`
	// Result is the name of the result: ok, failed, shed, timeout or cancelled for
	// the admission core; done, not-run or unknown for the deduplication core, and
	// ok or failed with KindRelayed.
	Result string `cbor:"2,keyasint"`
	// Latency is the time until the response header.
	Latency time.Duration `cbor:"3,keyasint,omitempty"`
	// Started is false only if the upstream certainly did not run the request.
	Started bool `cbor:"4,keyasint,omitempty"`
	// Response is the response to store, with done.
	Response *gddedup.StoredResponse `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the delay before the caller's next attempt, with not-run.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// PeerLoad is the load that a peer reported.
type PeerLoad struct {
	InFlight int    `cbor:"1,keyasint"`
	Queued   int    `cbor:"2,keyasint"`
	Limit    int    `cbor:"3,keyasint"`
	Started  uint64 `cbor:"4,keyasint"`
}

// Outcome is one action. Two outcomes are equal if all of their fields are.
type Outcome struct {
	// Action is the name of the action: a verdict on a packet, or a decision on a
	// request.
	Action string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Upstream is the destination of a packet, a request or a query.
	Upstream gdconf.UpstreamID `cbor:"3,keyasint,omitempty"`
	// Request is the identifier of the request.
	Request uint64 `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the delay before the caller's next attempt.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Uncertain is set for a refusal of a request that may have run.
	Uncertain bool `cbor:"6,keyasint,omitempty"`
	// Key is a newly issued key.
	Key string `cbor:"7,keyasint,omitempty"`
	// Status is the HTTP status of a stored response.
	Status int `cbor:"8,keyasint,omitempty"`
}
