package gddiscovery

import (
	"cmp"
	"sort"
	"time"
)

const (
	// expiryGrace is how long an upstream is still used whose registration expired
	// while the source was unreachable: the time that the users' requirements give a
	// running upstream to register again.
	expiryGrace = 2 * time.Second
	// outageAge is the age of the last confirmation above which removals are treated as
	// expired registrations: one and a half times the longest wait for a healthy source.
	outageAge = 2500 * time.Millisecond
)

// record is the latest change of one subject.
type record struct {
	change Change
	// updatedAt is when the process received the change.
	updatedAt time.Time
	// graceUntil is the time until which a removed upstream is still used.
	graceUntil time.Time
	// written is the revision at which the subject was last written, not removed.
	written Revision
	// former is an upstream that was registered under the ID with another service, or nil.
	former *Upstream
	// keptUntil is the time until which the record is kept unconfirmed, or zero.
	keptUntil time.Time
}

// State holds the latest change of each subject. The zero value is empty.
type State struct {
	// MaxFlowAge is the age that a flow reaches at most, or 0 for DefaultMaxFlowAge. It must be
	// set before the first call. Removed upstreams are retained for as long.
	MaxFlowAge time.Duration

	records  map[Subject]*record
	revision Revision
	// completeSince is the revision from which on all changes are retained. Removals
	// before it may be unknown.
	completeSince Revision
	configs       []configAt // the latest configurations, oldest first
	history       routeHistories
	// copied is the highest revision in the first full update of the era. What is written later
	// is not from the copy, although its number may have been given out before.
	copied    Revision
	confirmed time.Time
	settledAt time.Time // until then the state may lack running upstreams
	loaded    bool
	view      *View
}

func (s *State) maxFlowAge() time.Duration { return cmp.Or(s.MaxFlowAge, DefaultMaxFlowAge) }

// Revision returns the revision up to which the state is complete.
func (s *State) Revision() Revision { return s.revision }

// CompleteSince returns the revision from which on all changes are retained.
func (s *State) CompleteSince() Revision { return s.completeSince }

// Loaded reports whether a full update was loaded.
func (s *State) Loaded() bool { return s.loaded }

// Age returns the time since the state was last confirmed to be complete, or
// the maximum age of a flow before the first full update.
func (s *State) Age(now time.Time) time.Duration {
	if !s.loaded {
		return s.maxFlowAge()
	}
	return now.Sub(s.confirmed)
}

// View returns the current view, or nil before the first full update.
func (s *State) View() *View { return s.view }

// Load applies a full update: subjects that it does not contain are marked as removed,
// unless they were written in an earlier era. It reports whether the view has changed.
func (s *State) Load(now time.Time, u Update) bool {
	if s.loaded && u.Revision < s.revision {
		return false
	}
	present := make(map[Subject]struct{}, len(u.Changes))
	for _, c := range u.Changes {
		present[c.Subject] = struct{}{}
	}
	s.noteCopy(u)
	for subject, r := range s.records {
		_, ok := present[subject]
		if !ok && !r.change.Removed && r.change.Revision <= u.Revision && r.change.Revision.Era() == u.Revision.Era() {
			u.Changes = append(u.Changes, Change{Subject: subject, Revision: u.Revision, Removed: true})
		}
	}
	if !s.loaded {
		s.forgetFormerRoutes(now)
	}
	s.loaded, s.completeSince = true, max(s.completeSince, u.Revision)
	u.EachChange = false
	return s.merge(now, u)
}

// Apply applies an update. It reports whether the view has changed. An update is
// ignored before the first full one, and as a whole if it is of another era or has the
// delta of a configuration that does not apply to the one known.
func (s *State) Apply(now time.Time, u Update) bool {
	if !s.loaded || u.Revision.Era() != s.revision.Era() || !s.resolveDeltas(u.Changes) {
		return false
	}
	return s.merge(now, u)
}

// resolveDeltas replaces the deltas of newer configurations by the configurations. It
// reports false if one does not apply.
func (s *State) resolveDeltas(changes []Change) bool {
	r, known := s.records[Subject{Kind: Configuration}]
	for i := range changes {
		c := &changes[i]
		if c.Delta == nil || known && !r.precedes(*c) {
			continue
		}
		if !known || r.change.Revision < c.Delta.Since {
			return false
		}
		cfg, ok := c.Delta.Apply(r.change.Config)
		if !ok {
			return false
		}
		c.Config, c.Delta, c.continues = cfg, nil, true
	}
	return true
}

func (s *State) merge(now time.Time, u Update) bool {
	if s.records == nil {
		s.records = make(map[Subject]*record)
	}
	outage := !s.confirmed.IsZero() && now.Sub(s.confirmed) > outageAge
	complete := s.history.completeSince
	changed := s.putAll(now, u, outage) || s.view == nil
	if u.Revision >= s.revision {
		if u.Revision.Era() > s.revision.Era() {
			s.beginEra(now, s.view == nil)
		}
		s.revision = u.Revision
		if at := now.Add(-u.Age); at.After(s.confirmed) && !u.Partial {
			s.confirmed = at
		}
	}
	changed = s.expireUnconfirmed(now) || changed || complete != s.history.completeSince
	if s.expire(now) || changed {
		s.view = s.buildView()
		return true
	}
	return false
}

// putAll applies changes. It reports whether one of them was new.
func (s *State) putAll(now time.Time, u Update, outage bool) bool {
	changed := false
	for _, c := range u.Changes {
		c.continues = c.continues || u.EachChange
		changed = s.put(now, c, outage) || changed
	}
	return changed
}

// precedes reports whether the change of its subject is newer than the record. A
// configuration with a higher version is newer whatever the revisions: versions never go
// back, not even in a source that was restored.
func (r *record) precedes(c Change) bool {
	if c.Kind == Configuration {
		if v := c.version(); v != r.change.version() {
			return v > r.change.version()
		}
	}
	return c.Revision > r.change.Revision
}

// put applies a change, unless a newer one of its subject is known.
func (s *State) put(now time.Time, c Change, outage bool) bool {
	old, known := s.records[c.Subject]
	if c.Kind == Configuration && (c.Removed || c.Config == nil) {
		// A configuration is never removed, and one that can't be read is ignored.
		return false
	}
	copied := c.Revision <= s.copied
	if known && (!old.precedes(c) || copied && old.repeats(c)) {
		return false
	}
	r := &record{change: c, updatedAt: now}
	r.change.First, r.change.continues = false, false // they are about this host and its source
	if !c.Removed {
		r.written = c.Revision
	}
	if known {
		r.succeed(old, outage, copied)
	}
	s.records[c.Subject] = r
	if c.Config != nil {
		s.replaceConfig(now, old, c)
	}
	return true
}

// replaceConfig records the configuration that a change brings, and what it replaces.
func (s *State) replaceConfig(now time.Time, old *record, c Change) {
	switch {
	case c.First && old == nil:
		s.history.completeSince = time.Time{}
	case !c.continues:
		s.forgetFormerRoutes(now)
	}
	if old != nil {
		s.recordFormerRoutes(now, old.change.Config, c.Config)
	}
	s.retainConfig(c.Revision, c.Config, !c.continues)
}

// succeed takes over from the record that this one replaces what the change does not say.
func (r *record) succeed(old *record, outage, copied bool) {
	r.former = formerOf(old, r.change.Upstream)
	if !r.change.Removed {
		r.reconcile(old, copied)
		return
	}
	r.written = old.written
	if r.change.Upstream == nil {
		r.change.Upstream = old.change.Upstream
		if outage && !old.change.Removed {
			r.graceUntil = r.updatedAt.Add(expiryGrace)
		}
	}
}

// formerOf returns the upstream that was registered with another service under the ID of the record
// before one replaces it: the first of several.
func formerOf(old *record, next *Upstream) *Upstream {
	was := old.change.Upstream
	switch {
	case next == nil || was == nil || next.Service == was.Service:
		return old.former
	case old.former == nil:
		return was
	case old.former.Service == next.Service:
		return nil // it has registered again
	}
	return old.former
}

// expire deletes the records of subjects that were removed so long ago that no flow
// can depend on them.
func (s *State) expire(now time.Time) bool {
	dropped := false
	for subject, r := range s.records {
		if r.change.Removed && now.Sub(r.updatedAt) > s.maxFlowAge() {
			delete(s.records, subject)
			s.completeSince = max(s.completeSince, r.change.Revision)
			dropped = true
		}
	}
	return dropped
}

// ChangesSince returns the changes after the revision, oldest first, or a full update
// if not all changes from there on are retained. A configuration is described by its
// differences where that is shorter.
func (s *State) ChangesSince(now time.Time, revision Revision) Update {
	u := Update{Revision: s.revision, Age: s.Age(now), Full: revision < s.completeSince}
	for subject, r := range s.records {
		if u.Full || r.change.Revision > revision {
			c := r.change
			if !u.Full && subject.Kind == Configuration {
				c = s.compact(c, revision)
			}
			u.Changes = append(u.Changes, c)
		}
	}
	sort.Slice(u.Changes, func(i, j int) bool { return u.Changes[i].Revision < u.Changes[j].Revision })
	return u
}

// UpdateSince returns the changes after the revision as ChangesSince does, and what is kept
// unconfirmed from an earlier era.
func (s *State) UpdateSince(now time.Time, revision Revision) Update {
	u := s.ChangesSince(now, revision)
	if u.Full {
		return u
	}
	for _, r := range s.records {
		if s.unconfirmed(r) {
			u.Changes = append(u.Changes, r.change)
		}
	}
	return u
}
