package gddiscovery

import (
	"sort"
	"time"
)

const (
	// lapseGrace is how long an upstream is still used whose registration ran out
	// while the source could not be reached: by then a live one has registered
	// again, as the users' letter says.
	lapseGrace = 2 * time.Second
	// outageAge is the age of the last confirmation from which removals are taken
	// for lapses: half again the longest wait for news of a healthy source.
	outageAge = 2500 * time.Millisecond
	// memory is how long a removed upstream is kept for flows that it may still
	// hold: the longest life of a flow in the users' settings.
	memory = 60 * time.Second
)

// record is the newest state of one subject.
type record struct {
	change Change
	// since is when the process learnt of the state.
	since time.Time
	// lapsedUntil is until when a removed upstream is used all the same.
	lapsedUntil time.Time
}

// State holds the newest state of each subject. The zero value knows nothing.
type State struct {
	records  map[Subject]*record
	revision uint64
	// base is the revision from which on the book has every change. Of what was removed
	// before, it may never have known.
	base      uint64
	confirmed time.Time
	loaded    bool
	view      *View
}

// Revision returns the revision up to which the book is complete.
func (b *State) Revision() uint64 { return b.revision }

// CompleteSince returns the revision from which on the book has every change.
func (b *State) CompleteSince() uint64 { return b.base }

// Loaded reports whether the book has had a whole state.
func (b *State) Loaded() bool { return b.loaded }

// Age returns how long ago the book was last known to be complete.
func (b *State) Age(now time.Time) time.Duration {
	if !b.loaded {
		return memory
	}
	return now.Sub(b.confirmed)
}

// View returns the present view, or nil before the first state.
func (b *State) View() *View { return b.view }

// Load takes in the whole state as of the update's revision: a subject that the
// update does not have was removed. It reports whether the view has changed.
func (b *State) Load(now time.Time, u Update) bool {
	if b.loaded && u.Revision < b.revision {
		return false
	}
	present := make(map[Subject]struct{}, len(u.Changes))
	for _, c := range u.Changes {
		present[c.Subject] = struct{}{}
	}
	for s, r := range b.records {
		if _, ok := present[s]; !ok && !r.change.Removed && r.change.Revision <= u.Revision {
			u.Changes = append(u.Changes, Change{Subject: s, Revision: u.Revision, Removed: true})
		}
	}
	b.loaded, b.base = true, max(b.base, u.Revision)
	return b.take(now, u)
}

// Apply takes in what has changed. It reports whether the view has changed. An
// update for a book without a whole state is ignored.
func (b *State) Apply(now time.Time, u Update) bool {
	if !b.loaded {
		return false
	}
	return b.take(now, u)
}

func (b *State) take(now time.Time, u Update) bool {
	if b.records == nil {
		b.records = make(map[Subject]*record)
	}
	outage := !b.confirmed.IsZero() && now.Sub(b.confirmed) > outageAge
	changed := b.view == nil
	for _, c := range u.Changes {
		if b.put(now, c, outage) {
			changed = true
		}
	}
	if u.Revision >= b.revision {
		b.revision = u.Revision
		if at := now.Add(-u.Age); at.After(b.confirmed) {
			b.confirmed = at
		}
	}
	if b.forget(now) || changed {
		b.view = b.build()
		return true
	}
	return false
}

// put takes in one change unless a newer one of its subject is known.
func (b *State) put(now time.Time, c Change, outage bool) bool {
	old, known := b.records[c.Subject]
	if known && c.Revision <= old.change.Revision {
		return false
	}
	if c.Kind == Configuration && (c.Removed || c.Config == nil) {
		// A configuration is never removed; one that can't be read is passed over.
		return false
	}
	r := &record{change: c, since: now}
	if known && c.Removed && c.Upstream == nil {
		r.change.Upstream = old.change.Upstream
		if outage && !old.change.Removed {
			r.lapsedUntil = now.Add(lapseGrace)
		}
	}
	b.records[c.Subject] = r
	return true
}

// forget drops what was removed so long ago that no flow can depend on it.
func (b *State) forget(now time.Time) bool {
	dropped := false
	for s, r := range b.records {
		if r.change.Removed && now.Sub(r.since) > memory {
			delete(b.records, s)
			b.base = max(b.base, r.change.Revision)
			dropped = true
		}
	}
	return dropped
}

// ChangesSince returns what has changed after the revision, oldest first, or the whole state
// if the book does not have all changes from there on.
func (b *State) ChangesSince(now time.Time, revision uint64) Update {
	u := Update{Revision: b.revision, Age: b.Age(now), Full: revision < b.base}
	for _, r := range b.records {
		if u.Full || r.change.Revision > revision {
			u.Changes = append(u.Changes, r.change)
		}
	}
	sort.Slice(u.Changes, func(i, j int) bool { return u.Changes[i].Revision < u.Changes[j].Revision })
	return u
}
