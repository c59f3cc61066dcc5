package gdpacketagent

import "time"

// State is what an agent shows of itself on request.
type State struct {
	// Revision is the highest that an entry host has shown, and TakesNew and Slots are
	// the upstream's standing at it.
	Revision   uint64 `json:"revision"`
	AcceptsNew bool   `json:"takes-new"`
	Slots      uint8  `json:"slots"`
	// Flows counts those that are remembered, Load the requests at work or waiting.
	Flows int  `json:"flows"`
	Load  int  `json:"load"`
	Ready bool `json:"ready"`
}

// State returns the present state.
func (s *Agent) State(time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.Guard.Status()
	return State{
		Revision: st.Revision, AcceptsNew: st.AcceptsNew, Slots: st.Slots,
		Flows: s.Guard.Flows(), Load: s.Guard.Load(), Ready: s.Ready(),
	}
}
