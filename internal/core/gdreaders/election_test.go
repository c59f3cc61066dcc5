package gdreaders_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdreaders"
)

// beat is the interval between two ticks of a host.
const beat = gdreaders.BeaconInterval / 2

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(i int) gdflow.Address {
	return gdflow.AddressFrom([4]byte{10, 0, byte(i >> 8), byte(i)}, 7721)
}

// host is a simulated entry host.
type host struct {
	election  gdreaders.Election
	confirmed time.Time
	refused   bool // by the store
	down      bool
	cut       bool // from the other hosts
	leaving   bool
	// ignoresRelays makes the host lose the beacons that it is to relay.
	ignoresRelays bool
	// sent and received count the beacons, and bytes the size of those sent.
	sent, received, bytes int
}

// The sizes of messages in bytes, with the headers of UDP and IP.
const (
	beaconSize = 28 + 45
	memberSize = 15
	targetSize = 4
)

// fleet simulates hosts in virtual time. Beacons arrive at once.
type fleet struct {
	now   time.Time
	hosts []*host
	// calls counts the ticks in which hosts read.
	calls    int
	messages int
}

func newFleet(n int) *fleet {
	f := &fleet{now: start}
	for range n {
		f.join()
	}
	return f
}

var domains = []string{"a", "b", "c", "d", "e", "f"}

func (f *fleet) join() *host {
	i := len(f.hosts)
	h := &host{confirmed: f.now, election: gdreaders.Election{
		Self: at(i), Rank: uint32(i*7919%4096) << 4, Domain: domains[i%len(domains)], Seeds: []gdflow.Address{at(0), at(1), at(2)},
	}}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(beat) {
		for i, h := range f.hosts {
			if !h.down {
				f.beat(i, h)
			}
		}
	}
}

func (f *fleet) beat(i int, h *host) {
	to := slices.Clone(h.election.Tick(f.now, f.now.Sub(h.confirmed)))
	if h.election.Reading() {
		f.calls++
		if !h.refused {
			h.confirmed = f.now
		}
	}
	b := h.election.Beacon(f.now, 1, f.now.Sub(h.confirmed))
	for _, r := range to {
		f.deliver(i, i, r, b)
	}
}

func index(a gdflow.Address) int {
	ip := a.IP()
	return int(ip[2])<<8 | int(ip[3])
}

// deliver delivers the beacon of the origin, and those that the receiver relays.
func (f *fleet) deliver(from, origin int, to gdreaders.Recipient, b gdreaders.Beacon) {
	f.messages++
	f.hosts[from].sent++
	f.hosts[from].bytes += beaconSize + memberSize*len(b.Members) + targetSize*len(to.Targets)
	j := index(to.Address)
	if j >= len(f.hosts) || f.hosts[j].down || f.hosts[j].cut || f.hosts[from].cut {
		return
	}
	o := f.hosts[j]
	o.received++
	if o.ignoresRelays && len(to.Targets) > 0 {
		return
	}
	o.election.HandleBeacon(f.now, at(origin), b)
	if confirmed := f.now.Add(-b.Age); b.Reading && confirmed.After(o.confirmed) {
		o.confirmed = confirmed
	}
	for _, r := range gdreaders.Relay(to.Targets) {
		f.deliver(j, origin, r, b)
	}
}

func (f *fleet) readers() []int {
	var out []int
	for i, h := range f.hosts {
		if !h.down && h.election.Reading() {
			out = append(out, i)
		}
	}
	return out
}

// maxAge returns the maximum age of the state of the hosts that are neither down, cut off
// nor leaving.
func (f *fleet) maxAge() time.Duration {
	var age time.Duration
	for _, h := range f.hosts {
		if !h.down && !h.cut && !h.leaving {
			age = max(age, f.now.Sub(h.confirmed))
		}
	}
	return age
}

// TestTwoReadersForAnyDeploymentSize: messages don't grow with the square of the
// deployment's size, and calls to the store don't grow at all.
func TestTwoReadersForAnyDeploymentSize(t *testing.T) {
	for _, n := range []int{2, 5, 23, 100, 300} {
		f := newFleet(n)
		f.run(10 * time.Second)
		require.Len(t, f.readers(), 2, "%d hosts", n)
		f.calls, f.messages = 0, 0
		const beats = 60
		f.run(beats * beat)
		require.Equal(t, 2*beats, f.calls, "%d hosts", n)
		perHost := float64(f.messages) / float64(n) / (beats * beat).Seconds()
		require.Less(t, perHost, 2*(1/gdreaders.BeaconInterval.Seconds()+1)+1, "messages per second for each of %d hosts", n)
		require.Less(t, f.maxAge(), time.Second)
	}
}

func TestSingleHostReads(t *testing.T) {
	f := newFleet(1)
	f.run(3 * time.Second)
	require.Equal(t, []int{0}, f.readers())
}

// TestReaderIsReplaced: the state of all reachable hosts stays recent, however the
// readers are lost.
func TestReaderIsReplaced(t *testing.T) {
	tests := []struct {
		name string
		lose func(f *fleet, readers []int)
	}{
		{"one is down", func(f *fleet, r []int) { f.hosts[r[0]].down = true }},
		{"both are down", func(f *fleet, r []int) { f.hosts[r[0]].down, f.hosts[r[1]].down = true, true }},
		{"one is cut off from the others", func(f *fleet, r []int) { f.hosts[r[0]].cut = true }},
		{"one is refused by the store", func(f *fleet, r []int) { f.hosts[r[0]].refused = true }},
		{"both are refused", func(f *fleet, r []int) { f.hosts[r[0]].refused, f.hosts[r[1]].refused = true, true }},
		{"both shut down", func(f *fleet, r []int) {
			f.hosts[r[0]].election.Leave()
			f.hosts[r[1]].election.Leave()
		}},
		{"the seeds are down too", func(f *fleet, r []int) {
			for _, i := range append(r, 0, 1, 2) {
				f.hosts[i].down = true
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(12)
			f.run(10 * time.Second)
			tt.lose(f, f.readers())
			var maxAge time.Duration
			for range 60 {
				f.run(beat)
				maxAge = max(maxAge, f.maxAge())
			}
			// The shortest limit for a configuration in the users' settings is 3 s.
			require.Less(t, maxAge, 3*time.Second)
			f.run(10 * time.Second)
			require.LessOrEqual(t, len(f.readers()), 4, "two, and unreachable ones")
			require.Less(t, f.maxAge(), 2*time.Second)
		})
	}
}

// TestTwoReadersAfterSimultaneousStart: after a power loss all hosts start at the same
// time and know only the seeds. Not all of them may become readers.
func TestTwoReadersAfterSimultaneousStart(t *testing.T) {
	f := newFleet(23)
	maxReaders := 0
	for range 40 {
		f.run(beat)
		maxReaders = max(maxReaders, len(f.readers()))
	}
	require.LessOrEqual(t, maxReaders, 6)
	require.Len(t, f.readers(), 2)
}

// TestJoiningHostDoesNotRead: a host that joins a deployment with readers learns of them
// before it starts to read.
func TestJoiningHostDoesNotRead(t *testing.T) {
	f := newFleet(5)
	f.run(10 * time.Second)
	before := f.readers()
	h := f.join()
	h.election.Rank = 1 << 30
	f.run(5 * time.Second)
	require.Equal(t, before, f.readers())
}

// TestOutageOfTheStore: not all hosts may read at once while the store is unreachable.
func TestOutageOfTheStore(t *testing.T) {
	f := newFleet(23)
	f.run(10 * time.Second)
	for _, h := range f.hosts {
		h.refused = true
	}
	f.run(20 * time.Second)
	for _, h := range f.hosts {
		h.refused = false
	}
	f.run(5 * time.Second)
	require.Len(t, f.readers(), 2)
	require.Less(t, f.maxAge(), 2*time.Second)
}
