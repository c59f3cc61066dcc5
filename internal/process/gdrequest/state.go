package gdrequest

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// stateTimeout bounds the wait for a core's state.
const stateTimeout = time.Second

// State is the part of the dump about requests.
type State struct {
	Mode     string        `json:"mode"`
	Limit    int           `json:"limit"`
	InFlight int           `json:"in-flight"`
	Queued   int           `json:"queued"`
	Streams  int           `json:"open-streams"`
	Ledger   gddedup.Stats `json:"ledger"`
}

// State asks both cores for their state. What a core does not tell in time stays
// zero.
func (s *Server) State() State {
	s.init()
	st := State{Streams: int(s.streams.Load())}
	admission := make(chan State, 1)
	s.duty.TryPost(func(now time.Time) []gdadmit.Action {
		l := s.core.Load(now)
		admission <- State{Mode: s.core.Mode().String(), Limit: l.Limit(), InFlight: l.InFlight(), Queued: l.Queued()}
		return nil
	})
	ledger := make(chan gddedup.Stats, 1)
	s.ledger.TryPost(func(time.Time) []gddedup.Action {
		ledger <- s.once.Stats()
		return nil
	})
	late := time.NewTimer(stateTimeout)
	defer late.Stop()
	select {
	case a := <-admission:
		st.Mode, st.Limit, st.InFlight, st.Queued = a.Mode, a.Limit, a.InFlight, a.Queued
	case <-late.C:
		return st
	}
	select {
	case st.Ledger = <-ledger:
	case <-late.C:
	}
	return st
}
