package gdentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdentry"
)

// allHave reports whether the version of the configuration is in force on all hosts.
func allHave(hosts []*gdentry.EntryHost, version uint64) bool {
	for _, e := range hosts {
		if e.State(time.Now()).Version != version {
			return false
		}
	}
	return true
}

// TestStoreIsRestoredFromACopy: the copy lacks the latest configuration, and the next one
// gets a lower revision number. No host goes back, one that starts after the restore learns
// what the copy lacks, and the next configuration takes effect on all.
func TestStoreIsRestoredFromACopy(t *testing.T) {
	const oldHosts = 3
	s := newStoreHosts(t)
	store, put := s.store, s.configure
	versions := func() []uint64 {
		var out []uint64
		for _, e := range s.hosts {
			out = append(out, e.State(time.Now()).Version)
		}
		return out
	}
	allAt := func(version uint64) func() bool { return func() bool { return allHave(s.hosts, version) } }
	put(4)
	for range oldHosts {
		s.start()
	}
	require.Eventually(t, allAt(4), eventTimeout, time.Millisecond)
	copied := time.Now()
	put(5)
	store.SetDomainOut(time.Now(), "a", true)
	require.Eventually(t, allAt(5), eventTimeout, time.Millisecond)

	store.Restore(copied)
	s.start()
	require.Eventually(t, func() bool {
		for _, v := range versions()[:oldHosts] {
			require.GreaterOrEqual(t, v, uint64(5), "a configuration in effect does not go back")
		}
		st := s.hosts[oldHosts].State(time.Now())
		return st.Version == 5 && st.DomainsOut == 1
	}, eventTimeout, time.Millisecond)
	put(6)
	require.Eventually(t, allAt(6), eventTimeout, time.Millisecond)
}
