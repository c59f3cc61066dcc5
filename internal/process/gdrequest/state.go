package gdrequest

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// stateTimeout bounds the wait for the states of both cores.
const stateTimeout = time.Second

// State is the part of a dump that describes requests.
type State struct {
	Mode     string        `json:"mode"`
	Limit    int           `json:"limit"`
	InFlight int           `json:"in-flight"`
	Queued   int           `json:"queued"`
	Streams  int           `json:"open-streams"`
	Ledger   gddedup.Stats `json:"ledger"`
}

// State returns the states of both cores. The state of a core that does not respond
// in time is zero.
func (s *Server) State() State {
	s.init()
	st := State{Streams: int(s.streams.Load())}
	admission := make(chan State, 1)
	s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action {
		l := s.admission.Load(now)
		admission <- State{Mode: s.admission.Mode().String(), Limit: l.Limit(), InFlight: l.InFlight(), Queued: l.Queued()}
		return nil
	})
	ledger := make(chan gddedup.Stats, 1)
	s.dedupLoop.TryPost(func(time.Time) []gddedup.Action {
		ledger <- s.dedup.Stats()
		return nil
	})
	timeout := time.NewTimer(stateTimeout)
	defer timeout.Stop()
	select {
	case a := <-admission:
		st.Mode, st.Limit, st.InFlight, st.Queued = a.Mode, a.Limit, a.InFlight, a.Queued
	case <-timeout.C:
		return st
	}
	select {
	case st.Ledger = <-ledger:
	case <-timeout.C:
	}
	return st
}
