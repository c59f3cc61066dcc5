package gdentry

import "time"

// State is what an entry host shows of itself on request.
type State struct {
	// Revision and Version are those of the view and of its configuration, AgeMS how
	// long ago the view was confirmed, in milliseconds.
	Revision uint64 `json:"revision"`
	Version  uint64 `json:"version"`
	AgeMS    int64  `json:"age-ms"`
	// Upstreams counts those of the view, DomainsOut the failure domains that are out.
	Upstreams  int `json:"upstreams"`
	DomainsOut int `json:"domains-out"`
	// Flows counts those that are remembered, Searches those that are looked for or
	// offered now, and SilentHosts the agents' hosts that have stopped answering.
	Flows       int `json:"flows"`
	Lookups     int `json:"searches"`
	SilentHosts int `json:"silent-hosts"`
	// ReadsStore says whether this host reads the store; Peers counts the entry hosts
	// that it knows.
	ReadsStore bool `json:"reads-store"`
	Peers      int  `json:"peers"`
	Ready      bool `json:"ready"`
	// CutOff says that hardly any agent answers this host.
	CutOff bool `json:"cut-off"`
}

// State returns the present state.
func (e *EntryHost) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{
		Revision: e.book.Revision(), AgeMS: e.book.Age(now).Milliseconds(),
		Flows: e.core.Flows(), Lookups: e.core.Lookups(), SilentHosts: e.core.Suspects(now),
		ReadsStore: e.peers.Reading(), Peers: e.peers.KnownHosts(), Ready: e.Ready(), CutOff: e.core.CutOff(),
	}
	if v := e.book.View(); v != nil {
		s.Version, s.Upstreams, s.DomainsOut = v.Version(), len(v.Upstreams()), v.DomainsOut()
	}
	return s
}
