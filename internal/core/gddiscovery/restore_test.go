package gddiscovery_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// era1 returns the revision of a number after the first restore of the source.
func era1(number uint64) gddiscovery.Revision { return gddiscovery.NewRevision(1, number) }

// beforeRestore returns a state at revision 105 of era 0.
func beforeRestore(t *testing.T, changes ...gddiscovery.Change) *gddiscovery.State {
	t.Helper()
	s := &gddiscovery.State{}
	require.True(t, s.Load(start, gddiscovery.Update{Changes: append(changes, config(50, 4)), Revision: 102}))
	s.Apply(start, gddiscovery.Update{Revision: 105})
	return s
}

// restored applies a copy of revision 103 in era 1.
func restored(s *gddiscovery.State, now time.Time, changes ...gddiscovery.Change) {
	s.Load(now, gddiscovery.Update{Changes: changes, Revision: era1(103)})
}

// TestConfigurationSurvivesRestore: an operator's last configurations are missing from the
// copy, and their revisions are given out again.
func TestConfigurationSurvivesRestore(t *testing.T) {
	s := beforeRestore(t)
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(105, 5)}, Revision: 105})
	restored(s, start, config(era1(50), 4))
	require.Equal(t, uint64(5), s.View().Version(), "the copy's configuration is older")
	require.Equal(t, era1(103), s.Revision())
	later := start.Add(time.Hour)
	s.Apply(later, gddiscovery.Update{Revision: era1(103)})
	require.Equal(t, uint64(5), s.View().Version(), "however long it takes to be written again")
	s.Apply(later, gddiscovery.Update{Changes: []gddiscovery.Change{config(era1(104), 6)}, Revision: era1(104)})
	require.Equal(t, uint64(6), s.View().Version(), "a lower number of a later era is newer")
	n, sum := s.Unconfirmed()
	require.Zero(t, n)
	require.Zero(t, sum)
}

// TestCopyProvesNoAbsence: an upstream that the copy lacks keeps its flows until it could
// have registered again.
func TestCopyProvesNoAbsence(t *testing.T) {
	tests := []struct {
		name  string
		again bool // it registers again
		after time.Duration
		want  bool
	}{
		{"at once", false, 0, true},
		{"before it must have registered again", false, 1900 * time.Millisecond, true},
		{"after that", false, 2100 * time.Millisecond, false},
		{"after it has registered again", true, 2100 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := beforeRestore(t)
			s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{upstream(104, "u1", nil)}, Revision: 105})
			restored(s, start, config(era1(50), 4))
			if tt.again {
				s.Apply(start.Add(time.Second), gddiscovery.Update{Changes: []gddiscovery.Change{upstream(era1(104), "u1", nil)}, Revision: era1(104)})
			}
			now := start.Add(tt.after)
			s.Apply(now, gddiscovery.Update{Revision: s.Revision()})
			m := member(t, s, at(1))
			require.Equal(t, tt.want, m.AcceptsNew(now))
			_, removed := m.Removed()
			require.Equal(t, tt.want, !removed)
		})
	}
}

// TestCopyShowsOlderRegistration: the copy has an upstream as it was before its last writes.
func TestCopyShowsOlderRegistration(t *testing.T) {
	booted := func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }
	draining := func(u *gddiscovery.Upstream) { u.StartUnixMilli, u.Draining = 1000, true }
	cold := func(u *gddiscovery.Upstream) { u.StartUnixMilli, u.ColdFor = 1000, 4*time.Second }
	tests := []struct {
		name             string
		before           gddiscovery.Change
		copied           gddiscovery.Change
		accepts          bool
		coldAfterASecond time.Duration
	}{
		{"ended since", removal(104, "u1"), upstream(era1(60), "u1", booted), false, 0},
		{"ended, and registered again", removal(104, "u1"), upstream(era1(103), "u1", booted), true, 0},
		{"draining since", upstream(104, "u1", draining), upstream(era1(60), "u1", booted), false, 0},
		{"drained, and started again", upstream(104, "u1", draining), upstream(era1(103), "u1", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 9000 }), true, 0},
		{"cold since", upstream(104, "u1", cold), upstream(era1(60), "u1", booted), true, 3 * time.Second},
		{"cold, not written since", upstream(104, "u1", cold), upstream(era1(104), "u1", cold), true, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := beforeRestore(t, upstream(60, "u1", booted))
			s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{tt.before}, Revision: 105})
			now := start.Add(time.Second)
			restored(s, now, config(era1(50), 4), tt.copied)
			m := member(t, s, at(1))
			require.Equal(t, tt.accepts, m.AcceptsNew(now))
			require.Equal(t, tt.coldAfterASecond, m.ColdLeft(now))
		})
	}
}

// TestCopyShowsFormerService: another service has taken the address since the copy was made.
func TestCopyShowsFormerService(t *testing.T) {
	s := beforeRestore(t, upstream(60, "u1", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }))
	s.Apply(start, gddiscovery.Update{Revision: 105, Changes: []gddiscovery.Change{
		removal(104, "u1"), upstream(105, "u2", func(u *gddiscovery.Upstream) { u.Service, u.StartUnixMilli = "gallery", 2000 }),
	}})
	restored(s, start, config(era1(50), 4), upstream(era1(60), "u1", func(u *gddiscovery.Upstream) { u.StartUnixMilli = 1000 }))
	require.Equal(t, "gallery", member(t, s, at(1)).Upstream().Service)
}

// TestDomainStaysOut: an operator has taken a domain out of service, and the copy lacks it.
func TestDomainStaysOut(t *testing.T) {
	s := beforeRestore(t)
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(104, "a", false)}, Revision: 105})
	restored(s, start, config(era1(50), 4))
	later := start.Add(10 * time.Second)
	s.Apply(later, gddiscovery.Update{Revision: era1(103)})
	require.Equal(t, 1, s.View().DomainsOut())
	s.Apply(later, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(era1(104), "a", false)}, Revision: era1(104)})
	s.Apply(later, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(era1(105), "a", true)}, Revision: era1(105)})
	require.Zero(t, s.View().DomainsOut(), "written again and taken back")
}

// TestEvacuationWithAnEarlierNumber guards against an evacuation that is ignored because it gets
// the number that an earlier one of the domain had before the restore: also when it was written
// before the host saw the new era.
func TestEvacuationWithAnEarlierNumber(t *testing.T) {
	for _, watched := range []bool{true, false} {
		s := beforeRestore(t)
		s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(104, "a", false)}, Revision: 104})
		s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(105, "a", true)}, Revision: 105})
		require.Zero(t, s.View().DomainsOut())
		again := evacuation(era1(104), "a", false)
		if watched {
			restored(s, start, config(era1(50), 4))
			later := start.Add(10 * time.Second)
			s.Apply(later, gddiscovery.Update{Changes: []gddiscovery.Change{again}, Revision: era1(104), EachChange: true})
		} else {
			restored(s, start, config(era1(50), 4), again)
		}
		require.Equal(t, 1, s.View().DomainsOut())
		s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(era1(105), "a", true)}, Revision: era1(105)})
		require.Zero(t, s.View().DomainsOut())
	}
}

// TestRegistrationWithAnEarlierNumber: the same for registrations. One that is written after the
// restore is not the earlier one of its number, and neither is that of another process in the copy.
func TestRegistrationWithAnEarlierNumber(t *testing.T) {
	cold := func(startMilli int64) func(u *gddiscovery.Upstream) {
		return func(u *gddiscovery.Upstream) { u.StartUnixMilli, u.ColdFor = startMilli, 4*time.Second }
	}
	for _, tt := range []struct {
		name    string
		ended   bool
		again   int64 // the start time of the process that registers again
		watched bool
		accepts bool
		cold    time.Duration
	}{
		{"ended, and written again", true, 1000, true, true, 4 * time.Second},
		{"ended, and in the copy", true, 1000, false, false, 0},
		{"ended, and another process in the copy", true, 2000, false, true, 4 * time.Second},
		{"written again", false, 1000, true, true, 4 * time.Second},
		{"in the copy", false, 1000, false, true, 3 * time.Second},
		{"another process in the copy", false, 2000, false, true, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := beforeRestore(t)
			s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{upstream(106, "u1", cold(1000))}, Revision: 106})
			if tt.ended {
				s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{removal(107, "u1")}, Revision: 107})
			}
			now := start.Add(time.Second)
			again := upstream(era1(106), "u1", cold(tt.again))
			if tt.watched {
				restored(s, start, config(era1(50), 4))
				s.Apply(now, gddiscovery.Update{Changes: []gddiscovery.Change{again}, Revision: era1(106), EachChange: true})
			} else {
				restored(s, now, config(era1(50), 4), again)
			}
			m := member(t, s, at(1))
			require.Equal(t, tt.accepts, m.AcceptsNew(now))
			if tt.accepts {
				require.Equal(t, tt.cold, m.ColdLeft(now))
			}
		})
	}
}

// TestEarlierEraIsIgnored: an answer was delayed, or came over an old connection.
func TestEarlierEraIsIgnored(t *testing.T) {
	s := beforeRestore(t)
	restored(s, start, config(era1(50), 4))
	require.False(t, s.Load(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(107, 4), upstream(106, "old", nil)}, Revision: 107}))
	require.False(t, s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{evacuation(107, "a", false)}, Revision: 107}))
	require.Equal(t, era1(103), s.Revision())
	require.Zero(t, s.View().DomainsOut())
}

// TestFreshHostLearnsWhatTheCopyLacks: a host that starts after the restore knows only the
// copy, and gets the rest from one that was there before.
func TestFreshHostLearnsWhatTheCopyLacks(t *testing.T) {
	witness := beforeRestore(t)
	witness.Apply(start, gddiscovery.Update{
		Changes: []gddiscovery.Change{config(105, 5), evacuation(104, "a", false), upstream(103, "u1", nil)}, Revision: 105,
	})
	restored(witness, start, config(era1(50), 4))
	var fresh gddiscovery.State
	restored(&fresh, start, config(era1(50), 4))
	_, want := witness.Unconfirmed()
	_, sum := fresh.Unconfirmed()
	require.NotEqual(t, want, sum, "the difference shows that there is more to learn")
	require.Equal(t, uint64(4), fresh.View().Version())
	fresh.Apply(start, witness.UpdateSince(start, fresh.Revision()))
	require.Equal(t, uint64(5), fresh.View().Version())
	require.Equal(t, 1, fresh.View().DomainsOut())
	require.NotNil(t, member(t, &fresh, at(1)))
	_, sum = fresh.Unconfirmed()
	require.Equal(t, want, sum)
}

// TestTwoRestoresInARow: what was kept over the first restore is kept over the second.
func TestTwoRestoresInARow(t *testing.T) {
	s := beforeRestore(t)
	s.Apply(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(105, 5), upstream(104, "u1", nil)}, Revision: 105})
	restored(s, start, config(era1(50), 4))
	now := start.Add(time.Second)
	s.Load(now, gddiscovery.Update{Changes: []gddiscovery.Change{config(gddiscovery.NewRevision(2, 50), 4)}, Revision: gddiscovery.NewRevision(2, 101)})
	require.Equal(t, uint64(5), s.View().Version())
	require.True(t, member(t, s, at(1)).AcceptsNew(now))
	require.Equal(t, 2*time.Second, s.SettlingLeft(now))
}

// TestSettling: flows are not proved gone while upstreams may have to register again.
func TestSettling(t *testing.T) {
	s := beforeRestore(t)
	require.Zero(t, s.SettlingLeft(start))
	restored(s, start, config(era1(50), 4))
	require.Equal(t, 2*time.Second, s.SettlingLeft(start))
	require.Zero(t, s.SettlingLeft(start.Add(2*time.Second)))

	var fresh gddiscovery.State
	restored(&fresh, start, config(era1(50), 4))
	require.Equal(t, 600*time.Millisecond, fresh.SettlingLeft(start), "time to hear from a host that saw the restore")
	fresh.ExtendSettling(start, 1500*time.Millisecond)
	require.Equal(t, 1500*time.Millisecond, fresh.SettlingLeft(start))
	fresh.ExtendSettling(start, 0)
	require.Equal(t, 1500*time.Millisecond, fresh.SettlingLeft(start))

	var first gddiscovery.State
	first.Load(start, gddiscovery.Update{Changes: []gddiscovery.Change{config(50, 4)}, Revision: 103})
	require.Zero(t, first.SettlingLeft(start), "the source was never restored")
}

func TestRevisionsCompareByEra(t *testing.T) {
	require.Less(t, gddiscovery.Revision(105), era1(1))
	require.Less(t, era1(1), era1(2))
	require.Equal(t, "1.104", era1(104).String())
	require.Equal(t, uint64(1), era1(104).Era())
	require.Equal(t, uint64(104), era1(104).Number())
	text, err := gddiscovery.NewRevision(gddiscovery.MaxEra, gddiscovery.MaxNumber).MarshalText()
	require.NoError(t, err)
	require.Equal(t, "65535.281474976710655", string(text))
}

func TestEraTracker(t *testing.T) {
	var tr gddiscovery.EraTracker
	stated := func(era, requestedIn, want uint64) {
		t.Helper()
		got, err := tr.Stated(era, requestedIn)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	superseded := func(era, requestedIn uint64) {
		t.Helper()
		_, err := tr.Stated(era, requestedIn)
		require.ErrorIs(t, err, gddiscovery.ErrSuperseded)
	}
	require.Zero(t, tr.Unstated())
	stated(0, 0, 0)
	stated(2, 0, 2)
	superseded(1, 1) // the request was sent before era 2 was known
	require.Equal(t, uint64(2), tr.Unstated())
	for range 3 {
		superseded(1, 2) // an old connection
	}
	stated(1, 2, 2) // it keeps stating a lower era
	stated(2, 2, 2)
	superseded(1, 2)
	stated(3, 2, 3)
}
