package gdpacketagent

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// State is the state of an agent, for operators.
type State struct {
	// Revision is the highest one that an entry host has reported. AcceptsNew and Slots
	// are the upstream's status at that revision.
	Revision   gddiscovery.Revision `json:"revision"`
	AcceptsNew bool                 `json:"takes-new"`
	Slots      uint8                `json:"slots"`
	// Flows counts the cached flows, Load the requests in progress or queued.
	Flows int  `json:"flows"`
	Load  int  `json:"load"`
	Ready bool `json:"ready"`
	// Kept counts the requests that are kept back, which are part of Load, and Refused those
	// that the upstream rejected because its queue was full.
	Kept    int   `json:"kept"`
	Refused int64 `json:"refused"`
}

// State returns the current state.
func (a *Agent) State(time.Time) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := a.Guard.Status()
	return State{
		Revision: st.Revision, AcceptsNew: st.AcceptsNew, Slots: st.Slots,
		Flows: a.Guard.Flows(), Load: a.Guard.Load(), Ready: a.Ready(),
		Kept: a.Guard.Kept(), Refused: a.Guard.Refused(),
	}
}
