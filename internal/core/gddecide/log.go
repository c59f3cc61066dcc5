package gddecide

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// DefaultRecords is the number of records that a process keeps.
const DefaultRecords = 16_384

// Log keeps the latest records.
type Log struct{ *Ring[Record] }

// NewLog returns a log for n records. It panics if n is not positive.
func NewLog(n int) *Log { return &Log{NewRing[Record](n)} }

// Query says which records to select. A zero field selects everything.
type Query struct {
	// Flow selects the decisions about the flow and about its requests.
	Flow uint64
	// Request selects the decisions about the request.
	Request uint64
	// Service selects the decisions at the service.
	Service gdconf.ServiceID
	// Upstream selects the decisions at the upstream.
	Upstream gdconf.UpstreamID
	// Since selects the decisions made at that time or later.
	Since time.Time
	// Limit bounds the answer to the latest so many records.
	Limit int
}

func (q Query) matches(r Record) bool {
	return matches(q.Flow, r.subject.flow) &&
		matches(q.Request, r.subject.request) &&
		matches(q.Service, r.service) &&
		matches(q.Upstream, r.upstream) &&
		(q.Since.IsZero() || r.time >= q.Since.UnixNano())
}

func matches[T comparable](want, got T) bool {
	var all T
	return want == all || want == got
}

// Select returns the records that match, the oldest first.
func (l *Log) Select(q Query) []Record {
	var found []Record
	for r := range l.All() {
		if q.matches(r) {
			found = append(found, r)
		}
	}
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	return found
}
