package gdguard

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

// Cause is the reason why a request is no longer kept back.
type Cause uint8

// The causes. Their String values are used as metric labels and in the log.
const (
	// SlotFree: the upstream has room.
	SlotFree Cause = iota
	// BoundReached: it was kept for the part of its objective that is permitted.
	BoundReached
	// Stopping: the agent shuts down.
	Stopping
	// Overflow: too much is kept, or the wait for a slot is too long.
	Overflow
	// FlowEnded: the caller or the upstream has ended the flow.
	FlowEnded
	// FlowLost: the upstream does not hold the flow.
	FlowLost
	// UpstreamExited: the upstream's process is gone.
	UpstreamExited

	causes
)

var causeNames = [causes]string{
	SlotFree: "slot-free", BoundReached: "bound-reached", Stopping: "stopping", Overflow: "overflow",
	FlowEnded: "flow-ended", FlowLost: "flow-lost", UpstreamExited: "upstream-exited",
}

// NumCauses returns the number of causes, for arrays of counters.
func NumCauses() int { return int(causes) }

// NumPriorities returns the number of priorities that are counted separately. Less urgent ones
// count as the last of them.
func NumPriorities() int { return priorities }

func (c Cause) String() string {
	if c >= causes {
		return "unknown"
	}
	return causeNames[c]
}

// Release describes a request that is no longer kept back.
type Release struct {
	// Key is the request's flow.
	Key gdflow.Key
	// Ahead is how many kept requests went before it when it was kept back.
	Ahead int
	// KeptFor is how long it was kept back.
	KeptFor time.Duration
	// Priority is that of its route, and Share its share rank.
	Priority, Share uint8
	Cause           Cause
}
