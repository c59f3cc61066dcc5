package gddiscovery

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A source that is restored from a copy has lost its latest changes, and starts a new era.
// What a host knows from the earlier era and the copy lacks is unconfirmed. It is kept until
// it is written again or the time for that is over, because the copy does not prove that it
// was removed.

const (
	// operatorGrace is how long a failure domain stays out that the restored source does
	// not list as out. No bound is stated for the time in which operators write again.
	operatorGrace = 60 * time.Second
	// witnessTime is the time in which a host that has just started hears from one that has
	// seen the latest era begin: two beacons.
	witnessTime = 600 * time.Millisecond
)

// SettlingLeft returns how long the state may still lack running upstreams, because the
// source was restored and they have not registered again.
func (s *State) SettlingLeft(now time.Time) time.Duration { return max(0, s.settledAt.Sub(now)) }

// ExtendSettling records that another host's state may lack running upstreams for as long.
func (s *State) ExtendSettling(now time.Time, left time.Duration) {
	if at := now.Add(min(left, expiryGrace)); left > 0 && at.After(s.settledAt) {
		s.settledAt = at
	}
}

// Unconfirmed returns the number of subjects that are kept from an earlier era, and a
// checksum of them, which is 0 if there are none.
func (s *State) Unconfirmed() (n int, sum uint64) {
	if s.revision.Era() == 0 {
		return 0, 0
	}
	for subject, r := range s.records {
		if s.unconfirmed(r) {
			n++
			sum += xxhash.Sum64String(string(byte(subject.Kind)) + subject.Name + r.change.Revision.String())
		}
	}
	return n, sum
}

// unconfirmed reports whether the record is from an earlier era than the state.
func (s *State) unconfirmed(r *record) bool {
	return !r.change.Removed && r.change.Revision.Era() < s.revision.Era()
}

// beginEra records that the state has moved to a new era. first means that nothing was known
// before, so that the era may have begun long ago.
func (s *State) beginEra(now time.Time, first bool) {
	left := expiryGrace
	if first {
		left = witnessTime
	}
	s.settledAt = now.Add(left)
	s.forgetFormerRoutes(now) // hosts that know only the copy may act on an older configuration
}

// expireUnconfirmed removes the records that were kept from an earlier era and were not
// written again in time. The configuration is kept until a later version is known.
func (s *State) expireUnconfirmed(now time.Time) bool {
	if s.revision.Era() == 0 {
		return false
	}
	changed := false
	for subject, r := range s.records {
		if subject.Kind == Configuration || !s.unconfirmed(r) {
			continue
		}
		if r.keptUntil.IsZero() {
			r.keptUntil = now.Add(keepFor(subject.Kind))
		}
		if now.Before(r.keptUntil) {
			continue
		}
		removed := r.change
		removed.Removed, removed.Revision = true, NewRevision(s.revision.Era(), 0)
		s.records[subject] = &record{change: removed, updatedAt: now}
		changed = true
	}
	return changed
}

func keepFor(k Kind) time.Duration {
	if k == Evacuation {
		return operatorGrace
	}
	return expiryGrace
}

// noteCopy records what the first full update of an era has.
func (s *State) noteCopy(u Update) {
	if s.loaded && u.Revision.Era() == s.revision.Era() {
		return
	}
	s.copied = u.Revision
	for _, c := range u.Changes {
		s.copied = max(s.copied, c.Revision)
	}
}

// repeats reports whether a registration of a later era, which may be from the copy, is what the
// record was before it was removed: the copy is older than the removal. An evacuation that may
// be an earlier one counts: it is taken back again if it was.
func (r *record) repeats(c Change) bool {
	return c.Kind == Registration && r.change.Removed && !c.Removed && r.change.Revision.Era() < c.Revision.Era() &&
		r.written.sameWrite(c.Revision) && c.Upstream.sameProcess(r.change.Upstream)
}

// sameWrite reports whether the revision is of the same write as a later one from the copy.
func (r Revision) sameWrite(copied Revision) bool { return r != 0 && r.Number() == copied.Number() }

// sameProcess reports whether both are registrations of one process, as far as they say.
func (u *Upstream) sameProcess(o *Upstream) bool {
	return u != nil && o != nil && u.ID == o.ID && u.Service == o.Service && u.Address == o.Address && u.StartUnixMilli == o.StartUnixMilli
}

// reconcile combines a registration with the one of an earlier era that it replaces: an
// upstream that drains does not stop doing so, and it is cold for as long as either says.
func (r *record) reconcile(old *record, copied bool) {
	u, known := r.change.Upstream, old.change.Upstream
	if u == nil || known == nil || old.change.Removed || r.change.Revision.Era() == old.change.Revision.Era() {
		return
	}
	combined := *u
	combined.Draining = u.Draining || known.Draining && u.StartUnixMilli == known.StartUnixMilli
	if copied && old.written.sameWrite(r.change.Revision) && u.sameProcess(known) {
		combined.ColdFor = 0 // it is the same registration, which the old record has from its time
	}
	left := old.updatedAt.Add(known.ColdFor).Sub(r.updatedAt)
	combined.ColdFor = max(combined.ColdFor, left, 0)
	r.change.Upstream = &combined
}
