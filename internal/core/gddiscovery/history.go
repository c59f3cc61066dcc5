package gddiscovery

import "time"

// History records when a state reached its revisions. From it a host selects the changes
// that are recent enough to be sent once more.
type History struct {
	// Window is how far back changes count as recent.
	Window time.Duration

	entries []reached
}

// reached is the time at which the state reached a revision.
type reached struct {
	at       time.Time
	revision uint64
}

// Record records the state's current revision.
func (h *History) Record(now time.Time, revision uint64) {
	h.trim(now)
	h.entries = append(h.entries, reached{at: now, revision: revision})
}

// Base returns the revision after which all changes are recent. It reports false before
// the first Record.
func (h *History) Base(now time.Time) (uint64, bool) {
	h.trim(now)
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].revision, true
}

// trim removes the entries before the newest one that is older than the window.
func (h *History) trim(now time.Time) {
	i := 0
	for ; i+1 < len(h.entries) && now.Sub(h.entries[i+1].at) > h.Window; i++ {
	}
	h.entries = h.entries[i:]
}
