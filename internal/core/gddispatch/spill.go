package gddispatch

import (
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// maxSpillOffers is how many upstreams of other services than the chosen one a flow is
// offered to. If half of them have a free slot, seven of eight flows find one.
const maxSpillOffers = 3

// SpillCause is why the service chosen for a flow can't serve it in time.
type SpillCause uint8

// The causes. Their String values are used as metric labels and in the log.
const (
	// NoneAccepts: no upstream of the service accepts new flows.
	NoneAccepts SpillCause = iota + 1
	// NoneResponds: no upstream that accepts new flows has responded.
	NoneResponds
	// ColdLimit: the cold upstreams have reached their limit of new flows.
	ColdLimit
	// NoFreeSlot: the upstreams are busy or hold all the flows that they may.
	NoFreeSlot

	spillCauses
)

var spillCauseNames = [spillCauses]string{
	NoneAccepts: "out", NoneResponds: "silent", ColdLimit: "cold", NoFreeSlot: "busy",
}

// NumSpillCauses returns the number of causes, for arrays of counters.
func NumSpillCauses() int { return int(spillCauses) }

func (c SpillCause) String() string {
	if c == 0 || c >= spillCauses {
		return "unknown"
	}
	return spillCauseNames[c]
}

// Spill describes an offer to another service than the chosen one. The zero value is none.
type Spill struct {
	// From is the chosen service.
	From  string
	Cause SpillCause
}

// nextSpill returns the upstream of another service than the chosen one, the first of the
// list, that is offered the flow next, and how. It returns nil if there is none or enough
// were offered it. Upstreams accept such an offer only if they have a free slot.
func (d *Dispatcher) nextSpill(now time.Time, hash uint64, services []*gddiscovery.Pool, l *lookup) (*gddiscovery.Member, Action) {
	if l.spillOffers >= maxSpillOffers {
		return nil, Action{}
	}
	for _, p := range services[1:] {
		if m := d.bestOffer(now, hash, p, l, d.responsive(now)); m != nil {
			spill := Spill{From: services[0].Service().Name, Cause: spillCause(now, services[0], l)}
			return m, Action{Opens: true, Reason: Spilled, Service: p.Service().Name, Spill: spill}
		}
	}
	return nil, Action{}
}

// spillCause returns why the chosen service can't serve the flow of the lookup.
func spillCause(now time.Time, chosen *gddiscovery.Pool, l *lookup) SpillCause {
	accepts := func(m *gddiscovery.Member) bool { return m.AcceptsNew(now) }
	cause := NoneResponds
	if !slices.ContainsFunc(chosen.Members(), accepts) {
		cause = NoneAccepts
	}
	for _, t := range l.attempts {
		switch {
		case t.spilled:
		case t.refusal == gdguard.Busy || t.refusal == gdguard.Full:
			return NoFreeSlot
		case t.refusal == gdguard.Cold:
			cause = ColdLimit
		case t.refusal == gdguard.Draining || t.refusal == gdguard.Leaving:
			cause = NoneAccepts
		}
	}
	return cause
}

// ownAttempts returns how many upstreams of the chosen service were offered the flow.
func (l *lookup) ownAttempts() int {
	n := 0
	for _, t := range l.attempts {
		if !t.spilled {
			n++
		}
	}
	return n
}

// noteSpill records that the last offer was made to another service than the chosen one.
func (l *lookup) noteSpill(a Action) {
	if a.Reason == Spilled {
		l.spillOffers++
		l.last().spilled = true
	}
}
