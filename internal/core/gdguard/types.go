package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Reason is the reason why an agent returns a packet to its entry host.
type Reason uint8

// The reasons. Their String values are used as metric labels and in the log.
const (
	// NotHeld: the upstream does not hold the flow, as far as the agent remembers. Agents of
	// older builds forget flows after 15 s without a packet.
	NotHeld Reason = iota + 1
	// Busy: the upstream is processing as many requests as it has slots.
	Busy
	// Draining: the upstream accepts no new flows.
	Draining
	// Leaving: the agent shuts down.
	Leaving
	// Cold: the upstream has reached its limit of new flows during slow start.
	Cold
	// WrongService: the flow is for another service than the upstream's.
	WrongService
	// Full: the upstream itself refused the flow.
	Full
	// Silent: the upstream has stopped responding.
	Silent
	// Exited: the upstream's process is gone.
	Exited
	// FlowClosed: the upstream does not hold the flow, however long it was idle.
	FlowClosed

	reasons
)

var reasonNames = [reasons]string{
	NotHeld: "not-held", Busy: "busy", Draining: "draining", Leaving: "leaving", Cold: "cold",
	WrongService: "wrong-service", Full: "full", Silent: "silent", Exited: "ended",
	FlowClosed: "closed",
}

// NumReasons returns the number of reasons, for arrays of counters.
func NumReasons() int { return int(reasons) }

func (r Reason) String() string {
	if r == 0 || r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}

// UpstreamStatus is the status of an upstream as an entry host reports it to the agent.
type UpstreamStatus struct {
	// Revision is the revision of the entry host's view.
	Revision gddiscovery.Revision
	// ViewAge is how long ago that view was known to be current, or 0 if the entry host doesn't
	// tell.
	ViewAge time.Duration
	// AcceptsNew reports whether the upstream accepts new flows.
	AcceptsNew bool
	// Slots is how many requests the upstream processes concurrently.
	Slots uint8
	// ColdFlowsPerSecond limits the new flows of a cold upstream, per second.
	// 0 means no limit.
	ColdFlowsPerSecond uint16
	// ColdLeft is how long the upstream stays cold, and ColdFor how long it is cold
	// after a start.
	ColdLeft, ColdFor time.Duration
	// StartUnixMilli is the start time of the upstream by its own clock, in Unix
	// milliseconds, or 0.
	StartUnixMilli int64
}

// RouteClass describes what the callers of a route need. An entry host reports it to the
// agent with each packet that opens a flow of the route. The zero value is that of a route
// whose needs are not known.
type RouteClass struct {
	// Objective is the time from the caller's first attempt within which an answer has its
	// full value, and Timeout the time after which it is worthless. 0 means unknown.
	Objective, Timeout time.Duration
	// Priority ranks routes for the case that not all can be served, 0 first.
	Priority uint8
	// Idempotent reports that requests may run more than once.
	Idempotent bool
}

// MaxQueryFlows is the maximum number of flows in one query, so that the query and its
// reply fit into a datagram on any link.
const MaxQueryFlows = 90

// Holding is what an agent reports about a flow in its reply to a query: whether its
// upstream holds the flow.
type Holding uint8

// The values of a Holding.
const (
	// Unsure: only a packet of the flow can show whether the upstream holds it.
	Unsure Holding = iota
	// Absent: the upstream does not hold the flow, as far as the agent remembers. Agents of
	// older builds forget flows after 15 s without a packet.
	Absent
	// Present: the upstream holds the flow.
	Present
	// HalfOpen: the upstream accepted the flow. Only a packet of the caller can show whether
	// it uses this upstream or another one that accepted a copy of the opening packet.
	HalfOpen
	// Closed: the upstream does not hold the flow, however long it was idle.
	Closed
	// HoldingWrongService: the agent is of another service than the one in whose name it was asked.
	HoldingWrongService

	holdings
)

var holdingNames = [holdings]string{Unsure: "unsure", Absent: "absent", Present: "present", HalfOpen: "half-open", Closed: "closed", HoldingWrongService: "wrong-service"}

func (h Holding) String() string {
	if h >= holdings {
		return "unknown"
	}
	return holdingNames[h]
}

// NumHoldings returns the number of values of a Holding, for arrays of counters.
func NumHoldings() int { return int(holdings) }

// Verb is the kind of an Action.
type Verb uint8

const (
	// Deliver delivers the packet to the upstream.
	Deliver Verb = iota + 1
	// SendToCaller sends the upstream's packet to the caller.
	SendToCaller
	// Return returns the packet to the entry host.
	Return
	// ReportAccepted reports to the entry host that the upstream accepted the flow.
	ReportAccepted
	// ReportHeld reports to the entry host that the upstream holds the flow.
	ReportHeld
	// ReportUnsure reports to the entry host that nothing shows yet whether the upstream holds the
	// flow.
	ReportUnsure
	// Drop drops the packet.
	Drop
	// Reset resets the flow at the caller: the upstream's process is gone.
	Reset
	// Keep keeps the packet back under the action's Kept.
	Keep
)

// Action is an instruction to the caller of the Guard.
type Action struct {
	// Key is the flow.
	Key gdflow.Key
	// Entry is the entry host's address, for Return and the reports.
	Entry gdflow.Address
	// Wait is, for a Return with Busy, how long the request would wait for a slot.
	Wait time.Duration
	// Kept identifies the kept packet that Keep stores and that Deliver, Return and Drop
	// remove. With 0 they concern the packet at hand.
	Kept uint64
	// Seq is the sequence number of a Reset.
	Seq    uint32
	Verb   Verb
	Reason Reason
}
