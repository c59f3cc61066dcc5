package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Reason says why an agent gives a packet back to its entry host.
type Reason uint8

// The reasons. Their names are those of the counters and of the log.
const (
	// NotHeld: the upstream does not hold the flow.
	NotHeld Reason = iota + 1
	// Busy: the upstream works on as many requests as it has slots.
	Busy
	// Draining: the upstream takes no new flows.
	Draining
	// Leaving: the agent shuts down.
	Leaving
	// Cold: the upstream has had what it bears while it is cold.
	Cold
	// WrongService: the flow is for another service than the upstream's.
	WrongService
	// Full: the upstream itself refused the flow.
	Full
	// Silent: the upstream has stopped answering.
	Silent
	// Exited: the upstream's process is gone.
	Exited

	reasons
)

var reasonNames = [reasons]string{
	NotHeld: "not-held", Busy: "busy", Draining: "draining", Leaving: "leaving", Cold: "cold",
	WrongService: "wrong-service", Full: "full", Silent: "silent", Exited: "ended",
}

// NumReasons returns the number of reasons, for arrays of counters.
func NumReasons() int { return int(reasons) }

func (r Reason) String() string {
	if r == 0 || r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// UpstreamStatus is what an entry host tells an agent of its upstream.
type UpstreamStatus struct {
	// Revision is the revision of the entry host's view.
	Revision uint64
	// AcceptsNew says whether new flows may go to the upstream.
	AcceptsNew bool
	// Slots is how many requests the upstream works on at a time.
	Slots uint8
	// ColdFlowsPerSecond is how many new flows a cold upstream bears in a second; 0 for
	// no bound.
	ColdFlowsPerSecond uint16
	// ColdLeft is how long the upstream stays cold, and ColdFor how long it does after a
	// start.
	ColdLeft, ColdFor time.Duration
	// StartUnixMilli is the upstream's own time of its start, in Unix milliseconds, or 0.
	StartUnixMilli int64
}

// MaxQueryFlows is how many flows one question is about at most, so that it and its answer
// fit into a datagram on any link.
const MaxQueryFlows = 90

// Holding is what an agent says about a flow without a packet of it.
type Holding uint8

// What an agent says.
const (
	// Unsure: only a packet of the flow can show whether the upstream holds it.
	Unsure Holding = iota
	// Absent: the upstream does not hold the flow.
	Absent
	// Present: the upstream holds the flow.
	Present

	holdings
)

var holdingNames = [holdings]string{Unsure: "unsure", Absent: "absent", Present: "present"}

func (h Holding) String() string {
	if h >= holdings {
		return "unknown"
	}
	return holdingNames[h]
}

// NumHoldings returns the number of things that an agent can say about a flow.
func NumHoldings() int { return int(holdings) }

// Verb is what an agent does.
type Verb uint8

const (
	// Deliver gives the packet to the upstream.
	Deliver Verb = iota + 1
	// SendToCaller sends the upstream's packet to the caller.
	SendToCaller
	// Return gives the packet back to the entry host.
	Return
	// ReportAccepted tells the entry host that the upstream accepted the flow.
	ReportAccepted
	// ReportHeld tells the entry host that the upstream holds the flow.
	ReportHeld
	// Drop does nothing with the packet.
	Drop
	// Reset sends the caller a reset: its upstream's process is gone.
	Reset
)

// Action is one thing to do.
type Action struct {
	// Key is the flow.
	Key gdflow.Key
	// Entry is the entry host's address, for Return, Accepted and Held.
	Entry gdflow.Address
	// Seq is the number of a reset, for End.
	Seq    uint32
	Verb   Verb
	Reason Reason
}
