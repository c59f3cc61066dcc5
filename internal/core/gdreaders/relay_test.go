package gdreaders_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
)

// resetCounts starts a measurement.
func (f *fleet) resetCounts() {
	for _, h := range f.hosts {
		h.sent, h.received, h.bytes = 0, 0, 0
	}
}

// busiest returns the largest value over the hosts that run.
func (f *fleet) busiest(count func(*host) int) int {
	most := 0
	for _, h := range f.hosts {
		if !h.down {
			most = max(most, count(h))
		}
	}
	return most
}

// maxControlBytes is what a host may spend on control, in bytes a second, as the users
// state it for 900 entry hosts.
const maxControlBytes = 20_000

// connectedReaders counts the readers that reach the other hosts.
func (f *fleet) connectedReaders() int {
	n := 0
	for _, i := range f.readers() {
		if !f.hosts[i].cut {
			n++
		}
	}
	return n
}

// TestNoHostServesTheWholeDeployment measures quiet deployments: what one host sends must
// not grow with them as it did when a reader sent each beacon to all.
func TestNoHostServesTheWholeDeployment(t *testing.T) {
	const seconds = 6
	bytes := func(h *host) int { return h.bytes }
	for _, hosts := range []int{59, 300, 900} {
		f := newFleet(hosts)
		f.run(10 * time.Second)
		require.Len(t, f.readers(), 2, "%d hosts", hosts)
		f.resetCounts()
		f.run(seconds * time.Second)
		t.Logf("busiest of %d hosts: %d bytes and %d messages a second", hosts, f.busiest(bytes)/seconds, f.busiest(func(h *host) int { return h.sent })/seconds)
		require.Less(t, f.busiest(bytes)/seconds, maxControlBytes, "bytes a second of the busiest of %d hosts", hosts)
		require.Less(t, f.maxAge(), time.Second)
		for i, h := range f.hosts {
			require.Positive(t, h.received, "host %d of %d", i, hosts)
		}
	}
}

// TestLostRelaysDoNotSilenceTheirHosts takes away relays in each way in which one can fail.
// The hosts behind them must keep a recent state, and must not all read the store.
func TestLostRelaysDoNotSilenceTheirHosts(t *testing.T) {
	for name, fail := range map[string]func(h *host){
		"killed":               func(h *host) { h.down = true },
		"cut off":              func(h *host) { h.cut = true },
		"gets no more of them": func(h *host) { h.ignoresRelays = true },
		"leaves":               func(h *host) { h.election.Leave(); h.leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(120)
			f.run(10 * time.Second)
			readers := f.readers()
			require.Len(t, readers, 2)
			relays := 0
			for i, h := range f.hosts {
				// The hosts of best rank are relays; each sends far more than a follower.
				if !slices.Contains(readers, i) && h.sent > 100 && relays < 6 {
					fail(h)
					relays++
				}
			}
			require.Equal(t, 6, relays)
			for range 60 {
				f.run(beat)
				require.Less(t, f.maxAge(), 2500*time.Millisecond, "the limit for a view that proves something")
				require.LessOrEqual(t, f.connectedReaders(), 8)
			}
			f.run(5 * time.Second)
			require.LessOrEqual(t, f.connectedReaders(), 3)
			require.Less(t, f.maxAge(), time.Second)
		})
	}
}

// TestReadersChooseDifferentRelays: the loss of one relay costs its hosts the beacons of
// one reader only.
func TestReadersChooseDifferentRelays(t *testing.T) {
	f := newFleet(120)
	f.run(10 * time.Second)
	relays := make(map[int]int)
	for _, i := range f.readers() {
		h := f.hosts[i]
		h.election.TriggerBeacon()
		covered := make(map[int]bool)
		for _, r := range h.election.Tick(f.now, 0) {
			covered[index(r.Address)] = true
			if len(r.Targets) > 0 {
				relays[index(r.Address)]++
			}
			require.LessOrEqual(t, len(r.Targets), gdreaders.MaxRelayTargets)
			for _, a := range r.Targets {
				require.False(t, covered[index(a)], "each host gets a beacon once")
				covered[index(a)] = true
			}
		}
		require.Len(t, covered, len(f.hosts)-1)
	}
	for i, n := range relays {
		require.Equal(t, 1, n, "host %d", i)
	}
}
