package gdtrace

import (
	"net/netip"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

// Format names the format, and its version, in each header.
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
	// Name says what the trace shows.
	Name string `cbor:"2,keyasint"`
	// Start is the time of the events' zero, in nanoseconds of Unix time.
	Start int64 `cbor:"3,keyasint"`
	// Deployment is the first configuration as it is printed in TOML. No process
	// has it in force before its first event of KindView.
	Deployment string `cbor:"4,keyasint"`
	// Processes are the recorded cores.
	Processes []Process `cbor:"5,keyasint"`
}

// Process is one recorded core.
type Process struct {
	Name string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	// Upstream and Incarnation identify an agent's process.
	Upstream    gdconf.UpstreamID `cbor:"3,keyasint,omitempty"`
	Incarnation uint32            `cbor:"4,keyasint,omitempty"`
	// Seed is the seed of the core's random source.
	Seed uint64 `cbor:"5,keyasint,omitempty"`
	// Slots is the number of slots of an admission core.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Peers are the upstreams to which an admission core may relay.
	Peers []gdconf.UpstreamID `cbor:"7,keyasint,omitempty"`
}

// Kind says what a process was told.
type Kind string

// The kinds. The roles in brackets take them.
const (
	// KindConfiguration publishes a configuration; it concerns no process.
	KindConfiguration Kind = "configuration"
	// KindView puts a published revision in force [balancer, door, at-most-once].
	KindView Kind = "view"
	// KindBlock begins the time in which a process does not know whether its view
	// still holds, and KindUnblock ends it [balancer, door].
	KindBlock   Kind = "block"
	KindUnblock Kind = "unblock"
	// KindStopping, KindFull and KindBusy say that an agent shuts down, holds all
	// the flows that it may, and has an upstream that bears no more [door].
	KindStopping Kind = "stopping"
	KindFull     Kind = "full"
	KindBusy     Kind = "busy"
	// KindPacket is the arrival of a packet [balancer, door].
	KindPacket Kind = "packet"
	// KindEnd is the end of a flow without token [door].
	KindEnd Kind = "end"
	// KindRequest is the arrival of a request [admission, at-most-once].
	KindRequest Kind = "request"
	// KindHeader is the response header of a started request [admission].
	KindHeader Kind = "header"
	// KindFinish is the end of a started request [admission, at-most-once].
	KindFinish Kind = "finish"
	// KindRetry asks what becomes of a request that was not served [admission].
	KindRetry Kind = "retry"
	// KindCancel is a request that its caller gave up [admission].
	KindCancel Kind = "cancel"
	// KindMode changes the mode [admission].
	KindMode Kind = "mode"
	// KindSlots changes the upstream's slots [admission].
	KindSlots Kind = "slots"
	// KindProbe is what the health endpoint says [admission].
	KindProbe Kind = "probe"
	// KindPeerLoad is the load that a peer reported [admission].
	KindPeerLoad Kind = "peer-load"
	// KindTick is the timer [admission, at-most-once].
	KindTick Kind = "tick"
	// KindIssue asks for a key [at-most-once].
	KindIssue Kind = "issue"
	// KindRelayed is the result of a relay [at-most-once].
	KindRelayed Kind = "relayed"
	// KindQuery is a peer's question and KindAnswer a peer's answer
	// [at-most-once].
	KindQuery Kind = "question"
	KindReply Kind = "answer"
	// KindRelease is a peer's release of a grant [at-most-once].
	KindRelease Kind = "release"
	// KindNotice is a peer's notice of a run that is done [at-most-once].
	KindNotice Kind = "notice"
)

// Event is one thing that a process was told, with what it did.
type Event struct {
	// At is the time since the header's start.
	At time.Duration `cbor:"1,keyasint"`
	// Process is the place of the process in the header, from 0.
	Process int  `cbor:"2,keyasint"`
	Kind    Kind `cbor:"3,keyasint"`
	// Deployment is the configuration in TOML, for KindConfiguration.
	Deployment string `cbor:"4,keyasint,omitempty"`
	// Revision is the configuration for KindView.
	Revision uint64    `cbor:"5,keyasint,omitempty"`
	Packet   *Packet   `cbor:"6,keyasint,omitempty"`
	Request  *Request  `cbor:"7,keyasint,omitempty"`
	Finish   *Finish   `cbor:"8,keyasint,omitempty"`
	PeerLoad *PeerLoad `cbor:"9,keyasint,omitempty"`
	// Mode is the mode's name for KindMode.
	Mode string `cbor:"10,keyasint,omitempty"`
	// Peer is who asked, answered or reported.
	Peer   gdconf.UpstreamID `cbor:"11,keyasint,omitempty"`
	Query  *gddedup.Query    `cbor:"12,keyasint,omitempty"`
	Reply  *gddedup.Reply    `cbor:"13,keyasint,omitempty"`
	Notice *gddedup.Notice   `cbor:"14,keyasint,omitempty"`
	// On is the state for KindFull, KindBusy and KindProbe.
	On bool `cbor:"15,keyasint,omitempty"`
	// Slots is the number of slots for KindSlots.
	Slots int `cbor:"16,keyasint,omitempty"`
	// Outcomes are the observed actions in their order.
	Outcomes []Outcome `cbor:"17,keyasint,omitempty"`
}

// Packet is a packet as a routing core sees it.
type Packet struct {
	Service gdconf.ServiceID `cbor:"1,keyasint"`
	Key     gdroute.FlowKey  `cbor:"2,keyasint,omitempty"`
	Opening bool             `cbor:"3,keyasint,omitempty"`
	Hops    uint8            `cbor:"4,keyasint,omitempty"`
	// Address is the service address at which it arrived, or empty.
	Address string `cbor:"5,keyasint,omitempty"`
	Token   *Token `cbor:"6,keyasint,omitempty"`
}

// Token is an opened route token.
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

// packet returns the packet as the core sees it.
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

// Request is a request that arrived, for either core of an agent.
type Request struct {
	ID uint64 `cbor:"1,keyasint"`
	// Priority, Deadline and the flags below are for the admission core. The
	// deadline is a time since the header's start; zero means none.
	Priority    int           `cbor:"2,keyasint,omitempty"`
	Deadline    time.Duration `cbor:"3,keyasint,omitempty"`
	Repeatable  bool          `cbor:"4,keyasint,omitempty"`
	Established bool          `cbor:"5,keyasint,omitempty"`
	Stream      bool          `cbor:"6,keyasint,omitempty"`
	// Hops is how often the request was relayed; either core knows it.
	Hops int `cbor:"7,keyasint,omitempty"`
	// Service, Key and Digest are for the at-most-once core.
	Service gdconf.ServiceID `cbor:"8,keyasint,omitempty"`
	Key     string           `cbor:"9,keyasint,omitempty"`
	Digest  uint64           `cbor:"10,keyasint,omitempty"`
}

// Finish is the end of a request.
type Finish struct {
	ID uint64 `cbor:"1,keyasint"`
	// Result is the result's name: ok, failed, shed, timeout or cancelled at the
	// admission core; done, not-run or unknown at the at-most-once core, where
	// KindRelayed has ok or failed.
	Result string `cbor:"2,keyasint"`
	// Latency is the time to the response header.
	Latency time.Duration `cbor:"3,keyasint,omitempty"`
	// Started is false only if the upstream certainly did not run the request.
	Started bool `cbor:"4,keyasint,omitempty"`
	// Response is the answer to keep, with done.
	Response *gddedup.StoredResponse `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the time after which to come back, with not-run.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// PeerLoad is the load that a peer reported.
type PeerLoad struct {
	InFlight int    `cbor:"1,keyasint"`
	Queued   int    `cbor:"2,keyasint"`
	Limit    int    `cbor:"3,keyasint"`
	Started  uint64 `cbor:"4,keyasint"`
}

// Outcome is one action. Two outcomes are the same when all their fields are.
type Outcome struct {
	// Action is the action's name: a verdict on a packet, or what becomes of a
	// request.
	Action string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Upstream is where a packet or a request goes, or whom to ask.
	Upstream gdconf.UpstreamID `cbor:"3,keyasint,omitempty"`
	// Request is the request's identifier.
	Request uint64 `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which the caller is to come back.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Uncertain is true for a refusal of a request that may have run.
	Uncertain bool `cbor:"6,keyasint,omitempty"`
	// Key is the key that is issued or offered.
	Key string `cbor:"7,keyasint,omitempty"`
	// Status is the HTTP status of a kept answer.
	Status int `cbor:"8,keyasint,omitempty"`
}
