package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// Verb is the kind of an Action.
type Verb uint8

const (
	// Forward sends the packet to the agent of an upstream.
	Forward Verb = iota + 1
	// Reset resets the flow at the caller.
	Reset
	// Drop drops the packet.
	Drop
	// SendStatus sends an agent the status of its upstream, without a packet.
	SendStatus
	// Query asks an agent which of a list of flows its upstream holds.
	Query
	// Probe finds out whether a host responds at all, and whether the control does.
	Probe
	// Verify requests a call of VerifyView.
	Verify
)

// Reason is the reason for an Action.
type Reason uint8

// The reasons. Their String values are used as metric labels and in the log.
const (
	// ByRank: the upstream is the next one in the flow's ranking.
	ByRank Reason = iota + 1
	// Known: the flow's upstream is known.
	Known
	// LeastLoaded: all upstreams that were offered the flow are busy, and this one
	// has the least load.
	LeastLoaded
	// NoRoute: no route is configured for the service address.
	NoRoute
	// NoUpstream: no upstream accepts new flows.
	NoUpstream
	// Overloaded: no upstream could accept the flow within the route's latency objective.
	Overloaded
	// FlowGone: each upstream that could hold the flow has reported that it does not, or
	// can't be reached.
	FlowGone
	// NotFound: some upstreams did not report whether they hold the flow.
	NotFound
	// NotReady: no view has been set yet, or it may lack a route that a restored source has lost.
	NotReady
	// Waiting: a lookup or an offer is in progress.
	Waiting
	// CutOff: hardly any agent responds to this host.
	CutOff
	// Broadcast: all upstreams that were not queried yet are queried at once.
	Broadcast
	// Unreachable: the host of the flow's upstream can't be reached.
	Unreachable
	// Spilled: the service chosen for the flow can't serve it in time, and an upstream of
	// another service of the route is offered it.
	Spilled

	reasons
)

var reasonNames = [reasons]string{
	ByRank: "by-rank", Known: "known", LeastLoaded: "least-loaded", NoRoute: "no-route",
	NoUpstream: "no-upstream", Overloaded: "overloaded", FlowGone: "flow-gone", NotFound: "not-found", NotReady: "not-ready",
	Waiting: "waiting", CutOff: "cut-off", Broadcast: "everyone",
	Unreachable: "unreachable", Spilled: "spilled",
}

// NumReasons returns the number of reasons, for arrays of counters.
func NumReasons() int { return int(reasons) }

func (r Reason) String() string {
	if r == 0 || r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Action is an instruction to the caller of the Dispatcher.
type Action struct {
	// Packet is the packet to forward. It is valid until the next call.
	Packet []byte
	// PacketSeq and PacketSize are the sequence number and the payload's length of a packet
	// in the middle of a flow whose upstream is known, in bytes.
	PacketSeq  uint32
	PacketSize int
	// Urgent reports that the packet's route is of the first priorities.
	Urgent bool
	// To is the address of the upstream, for Forward, SendStatus, Query and Probe.
	To gdflow.Address
	// Control is the address of another upstream, for Probe.
	Control gdflow.Address
	// Key is the flow. Keys are the flows of a Query.
	Key  gdflow.Key
	Keys []gdflow.Key
	// Header is the header of the message to the agent.
	Header gdguard.Header
	// Seq is the sequence number of a Reset.
	Seq uint32
	// Attempts is how many upstreams were tried for the flow, including this one.
	Attempts int
	// Wait is, for Overloaded, the least wait for a slot of the upstreams that were tried.
	Wait time.Duration
	// Missing is what a lookup without a result lacked, for Drop with NotFound.
	Missing Missing
	// Service is the service of an offer by rank or to another service.
	Service string
	// Spill describes an offer to another service.
	Spill  Spill
	Verb   Verb
	Reason Reason
	// Far reports that the offer goes to a failure domain that is far from the host's own.
	Far bool
	// Opens reports whether the packet opens a flow.
	Opens bool
}

// Missing describes why a lookup has neither found an upstream nor proved that there is none.
type Missing struct {
	// Silent and Unsure are the upstreams that did not answer, and those that can't tell
	// without a packet of the flow.
	Silent, Unsure int
	// Required is the revision that the view needs, or 0 if it has it.
	Required gddiscovery.Revision
	// After is how long the lookup took.
	After time.Duration
}

// ReturnInfo describes why an agent returned a packet.
type ReturnInfo struct {
	// From is the address of the agent's host. The port has no meaning.
	From gdflow.Address
	// Load is the number of requests that the agent's upstream is processing.
	Load int
	// Wait is how long a new request would wait for a slot of the upstream.
	Wait time.Duration
	// Revision is the highest revision that the agent has observed.
	Revision gddiscovery.Revision
	Reason   gdguard.Reason
}

// state is the state of a flow at an entry host.
type state uint8

const (
	// opening: the flow has been offered to upstreams.
	opening state = iota + 1
	// lookingUp: a lookup for the holder is in progress.
	lookingUp
	// resolved: the flow's upstream is known.
	resolved
	// notFound: the last lookup did not find the holder and can't rule out that
	// there is one.
	notFound
	// gone: no upstream holds the flow.
	gone
)

// flow is the record of a flow at an entry host.
type flow struct {
	lookup        *lookup
	retryAfter    time.Time // for notFound: no lookup before this time
	upstream      holder
	opening       gdflow.Opening
	callerEnd     uint32 // the sequence number after the last byte that the caller has sent
	hasData       bool   // callerEnd is set
	refusals      int    // the transmissions of the opening packet that were refused here, with all before them
	failedLookups uint8  // consecutive lookups that did not find the holder
	doubt         *doubt // for resolved: the upstream may not hold the flow
	state         state
}

// lookup is the progress of a flow through its upstreams: either a lookup of the
// holder or, for a flow that is being opened, a series of offers.
type lookup struct {
	// packet started the lookup. Later packets of the flow are pending until it ends.
	packet           heldPacket
	pending          []heldPacket
	attempts         []attempt
	deadline         time.Time
	ack              uint32
	started          time.Time
	retries          int                  // how often the unresponsive upstreams were queried again
	viewPolls        int                  // how often the lookup waited for a newer view
	awaits           *gddiscovery.View    // the view that does not suffice, while the lookup waits for a newer one
	requiredRevision gddiscovery.Revision // the revision that a view needs to prove that the flow is gone, or 0
	forced           bool                 // the least loaded upstream was asked to accept the flow although it is busy
	unanswered       bool                 // an upstream that was offered the flow has not answered in time
	spillOffers      int                  // how many upstreams of other services than the chosen one were offered the flow
	believed         holder               // the doubtful holder of the flow, or the zero value
	ofReset          bool                 // the packet is a reset, which is not answered by one
	deferred         bool                 // all upstreams are overloaded; the offer is repeated later
	maybeAccepted    bool                 // an upstream may have accepted an earlier transmission of the opening packet
}

// heldPacket is a packet that waits until a lookup ends. The zero value is none.
type heldPacket struct {
	raw  []byte
	seq  uint32
	size int // the length of its payload, in bytes
}

// hold returns a copy of the packet.
func hold(p gdflow.Packet, raw []byte) heldPacket {
	return heldPacket{raw: append([]byte(nil), raw...), seq: p.Seq, size: p.Size}
}

func (p heldPacket) held() bool { return p.raw != nil }

// attempt is one upstream that was tried.
type attempt struct {
	holder
	sentAt   time.Time
	load     int
	waited   toldWait // for a busy upstream
	answered bool
	busy     bool // it is of the chosen service and has no free slot
	spilled  bool // it is of another service than the chosen one
	refusal  gdguard.Reason
	recalled bool // it was not asked, since it is known to be busy
	queried  bool // it was queried without a packet
	renamed  bool // it was asked in the name of a second service
	// undecided: its agent has delivered the packet, and nothing shows yet whether it holds the flow.
	undecided bool
	unsure    bool // it can't answer without a packet, and the limit of such packets was reached, or it may have forgotten the flow
}

func (l *lookup) last() *attempt { return &l.attempts[len(l.attempts)-1] }

// attemptAt returns the attempt at the host, or nil.
func (l *lookup) attemptAt(host gdflow.Address) *attempt {
	for i := range l.attempts {
		if l.attempts[i].address.IP() == host.IP() {
			return &l.attempts[i]
		}
	}
	return nil
}
