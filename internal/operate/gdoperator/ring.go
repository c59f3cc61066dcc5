package gdoperator

import (
	"slices"
	"sync"
)

const (
	// DefaultRecords is the number of decision records that a process holds.
	DefaultRecords = 4096
	// defaultLast is the number of records in a response if the request sets none.
	defaultLast = 100
)

// Ring is a ring buffer of the newest decision records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
	full    bool
}

var _ DecisionSource = (*Ring)(nil)

// NewRing returns a ring for n records; n is raised to 1 if it is smaller.
func NewRing(n int) *Ring { return &Ring{records: make([]Record, max(n, 1))} }

// Add adds the record. If the ring is full, it replaces the oldest one.
func (g *Ring) Add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records[g.next] = r
	g.next++
	if g.next == len(g.records) {
		g.next = 0
		g.full = true
	}
}

// Decisions returns the newest records of the subject, at most last of them, with the
// oldest first.
func (g *Ring) Decisions(subject string, last int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.next
	if g.full {
		n = len(g.records)
	}
	var out []Record
	for i := 1; i <= n && len(out) < last; i++ {
		r := g.records[(g.next-i+len(g.records))%len(g.records)]
		if r.Matches(subject) {
			out = append(out, r)
		}
	}
	slices.Reverse(out)
	return out
}
