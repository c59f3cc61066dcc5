package gdentry

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// State is the state of an entry host, for operators.
type State struct {
	// Revision and Version are those of the view and of its configuration. AgeMS is the
	// time since the view was confirmed, in milliseconds.
	Revision gddiscovery.Revision `json:"revision"`
	Version  uint64               `json:"version"`
	AgeMS    int64                `json:"age-ms"`
	// Unconfirmed counts the subjects kept from an earlier era of the source.
	Unconfirmed int `json:"unconfirmed"`
	// Upstreams counts those in the view, DomainsOut the failure domains that are out.
	Upstreams  int `json:"upstreams"`
	DomainsOut int `json:"domains-out"`
	// Flows counts the cached flows, and Lookups the lookups and offers in progress.
	Flows   int `json:"flows"`
	Lookups int `json:"searches"`
	// SilentHosts counts the agents' hosts that don't respond, SuspectHosts those that get
	// no new flows: most silent ones, and those whose upstream is unavailable.
	SilentHosts  int `json:"silent-hosts"`
	SuspectHosts int `json:"suspect-hosts"`
	// ReadsStore reports whether this host is a reader; Peers counts the entry hosts
	// that it knows.
	ReadsStore bool `json:"reads-store"`
	Peers      int  `json:"peers"`
	Ready      bool `json:"ready"`
	// CutOff reports that hardly any agent responds to this host.
	CutOff bool `json:"cut-off"`
}

// State returns the current state.
func (e *EntryHost) State(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{
		Revision: e.state.Revision(), AgeMS: e.state.Age(now).Milliseconds(),
		Flows: e.dispatcher.Flows(), Lookups: e.dispatcher.Lookups(),
		SilentHosts: e.dispatcher.SilentHosts(), SuspectHosts: e.dispatcher.Suspects(now),
		ReadsStore: e.election.Reading(), Peers: e.election.KnownHosts(), Ready: e.Ready(), CutOff: e.dispatcher.CutOff(),
	}
	s.Unconfirmed, _ = e.state.Unconfirmed()
	if v := e.state.View(); v != nil {
		s.Version, s.Upstreams, s.DomainsOut = v.Version(), len(v.Upstreams()), v.DomainsOut()
	}
	return s
}
