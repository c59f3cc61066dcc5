package gddispatch

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// Verb is what an entry host does.
type Verb uint8

const (
	// Forward sends the packet to the agent beside an upstream.
	Forward Verb = iota + 1
	// Reset ends the flow at the caller.
	Reset
	// Drop does nothing with the packet.
	Drop
	// SendStatus sends an agent its upstream's standing, without a packet.
	SendStatus
	// Query asks an agent which of some flows its upstream holds.
	Query
)

// Reason says why an entry host does what it does.
type Reason uint8

// The reasons. Their names are those of the counters and of the log.
const (
	// ByRank: the upstream is the next in the flow's ranking.
	ByRank Reason = iota + 1
	// Known: the flow's upstream is known.
	Known
	// LeastLoaded: all upstreams that were asked are busy, and this one the least.
	LeastLoaded
	// NoRoute: nothing is configured at the service address.
	NoRoute
	// NoUpstream: no upstream takes new flows.
	NoUpstream
	// Overloaded: no upstream could take the flow within its goal.
	Overloaded
	// FlowGone: each upstream that could hold the flow has said that it does not.
	FlowGone
	// NotFound: some upstreams did not say whether they hold the flow.
	NotFound
	// NotReady: there is no view yet.
	NotReady
	// Waiting: an upstream is being asked already.
	Waiting
	// CutOff: hardly any agent answers this host.
	CutOff
	// Broadcast: all upstreams that were not asked yet are asked at once.
	Broadcast

	reasons
)

var reasonNames = [reasons]string{
	ByRank: "by-rank", Known: "known", LeastLoaded: "least-loaded", NoRoute: "no-route",
	NoUpstream: "no-upstream", Overloaded: "overloaded", FlowGone: "flow-gone", NotFound: "not-found", NotReady: "not-ready",
	Waiting: "waiting", CutOff: "cut-off", Broadcast: "everyone",
}

// NumReasons returns the number of reasons, for arrays of counters.
func NumReasons() int { return int(reasons) }

func (r Reason) String() string {
	if r == 0 || r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Action is one thing to do.
type Action struct {
	// Packet is the packet to forward. It is valid until the next call.
	Packet []byte
	// To is the address of the upstream, for Forward, Tell and Ask.
	To gdflow.Address
	// Key is the flow, and Keys are the flows of Ask.
	Key  gdflow.Key
	Keys []gdflow.Key
	// Header is what the agent is told.
	Header gdguard.Header
	// Seq is the number of a reset.
	Seq uint32
	// Attempts is how many upstreams were asked for the flow, this one included.
	Attempts int
	Verb     Verb
	Reason   Reason
	// Opens says that the packet opens a flow.
	Opens bool
}

// ReturnInfo is what an agent says of a packet that it gives back.
type ReturnInfo struct {
	// From is the agent's host; the port has no meaning.
	From gdflow.Address
	// Load is how many requests the agent's upstream works on.
	Load int
	// Revision is the highest one that the agent has seen.
	Revision uint64
	Reason   gdguard.Reason
}

// state is what an entry host knows of a flow.
type state uint8

const (
	// opening flows have been offered to upstreams.
	opening state = iota + 1
	// looking flows are searched for.
	looking
	// settled flows have a known upstream.
	settled
	// lost flows could not be found for now.
	lost
	// gone flows are held by no upstream.
	gone
)

// flow is what an entry host remembers of a flow.
type flow struct {
	search *search
	until  time.Time // for lost: no search before
	at     gdflow.Address
	losses uint8 // searches in a row that did not find it
	state  state
}

// search is a flow's way through its upstreams.
type search struct {
	// packet started the search; later ones of the flow wait for its end.
	packet   []byte
	later    [][]byte
	tries    []try
	deadline time.Time
	ack      uint32
	began    time.Time
	rounds   int    // how often those that do not answer were asked again
	waits    int    // how often a newer view was waited for
	need     uint64 // the revision that a view must have to show that the flow is gone, or 0
	forced   bool   // the least loaded upstream was asked to take the flow all the same
	silent   bool   // an upstream that was offered the flow has not answered in time
	holding  bool   // all upstreams have too much work for now
}

// try is one upstream that was asked.
type try struct {
	at       gdflow.Address
	load     int
	answered bool
	busy     bool
	question bool // it was asked without a packet
	unsure   bool // it can't tell without a packet, and too many were sent lately
}

func (s *search) last() *try { return &s.tries[len(s.tries)-1] }

// of returns the try at the host, or nil.
func (s *search) of(host gdflow.Address) *try {
	for i := range s.tries {
		if s.tries[i].at.IP() == host.IP() {
			return &s.tries[i]
		}
	}
	return nil
}

// least returns the busy upstream with the least load, or nil.
func (s *search) least() *try {
	var best *try
	for i := range s.tries {
		if t := &s.tries[i]; t.busy && (best == nil || t.load < best.load) {
			best = t
		}
	}
	return best
}
