package gdconfsync

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdsync"
)

// Status is the part of a process's dump that describes its configuration.
type Status struct {
	Version          string    `json:"version"`
	Revision         uint64    `json:"revision"`
	Seen             string    `json:"seen"`
	Since            time.Time `json:"since"`
	PlatformContact  time.Time `json:"platform-contact"`
	PlatformError    string    `json:"platform-error,omitempty"`
	RejectedRevision uint64    `json:"rejected-revision,omitempty"`
	RejectedReason   string    `json:"rejected-reason,omitempty"`
	RejectedAt       time.Time `json:"rejected-at,omitzero"`
	Members          int       `json:"members"`
	Confirming       bool      `json:"confirming"`
	Pauses           int64     `json:"pauses"`
	Dropped          int64     `json:"dropped"`
	PeerErrors       int64     `json:"peer-errors"`
	LastPeerError    string    `json:"last-peer-error,omitempty"`
}

// Status returns the current state of the configuration.
func (s *Syncer) Status() Status {
	var c gdsync.Status
	if p := s.current.Load(); p != nil {
		c = p.status
	}
	st := Status{
		Version: c.Version.String(), Revision: c.Version.Revision(), Seen: c.Seen.String(), Since: c.ActiveSince,
		PlatformContact: c.PlatformContact, PlatformError: c.PlatformError,
		RejectedRevision: c.RejectedRevision, RejectedReason: c.RejectedReason, RejectedAt: c.RejectedAt,
		Members: c.MemberCount, Confirming: c.Confirming,
		Pauses: s.pauses.Load(), Dropped: s.dropped.Load(), PeerErrors: s.peerErrors.Load(),
	}
	if err := s.lastPeerError.Load(); err != nil {
		st.LastPeerError = (*err).Error()
	}
	return st
}

// recordPeerError counts a failed call to a peer and records its error.
func (s *Syncer) recordPeerError(err error) {
	if err == nil {
		return
	}
	s.peerErrors.Add(1)
	s.lastPeerError.Store(&err)
}
