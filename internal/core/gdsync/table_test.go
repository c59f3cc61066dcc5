package gdsync

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var full = flag.Bool("full", false, "TestDisseminationTable: also measure 10,000 processes, and more changes each")

// noPush is a Fanout that disables pushes.
const noPush = -1

// strategy is one way to disseminate a new version to the fleet.
type strategy struct {
	name string
	// setup configures a process.
	setup func(*Core)
	// spread, if set, forwards a newly activated version instead of the core.
	spread func(n *fakeNet, i int, s *State)
}

func strategies() []strategy {
	var all []strategy
	for _, fanout := range []int{4, 6, 8} {
		all = append(all, strategy{name: fmt.Sprintf("rumour push, fan-out %d", fanout), setup: func(c *Core) { c.Fanout = fanout }})
	}
	all = append(all, strategy{name: "4-ary broadcast tree", setup: func(c *Core) { c.Fanout = noPush }, spread: tree(4)})
	for _, every := range []time.Duration{time.Second, 250 * time.Millisecond} {
		all = append(all, strategy{name: fmt.Sprintf("gossip every %s", every), setup: func(c *Core) {
			c.Fanout = noPush
			c.DigestInterval = every
		}})
	}
	return all
}

// tree returns the k-ary broadcast of the Distributed K-ary System: the process
// that is responsible for a range of the ring divides it into k intervals,
// sends to the first process of each other interval, and continues with its
// own.
func tree(k int) func(*fakeNet, int, *State) {
	return func(n *fakeNet, i int, s *State) {
		size := len(n.cores)
		span, ok := n.spans[i]
		if !ok {
			span = size // the first process with the version is responsible for the whole ring
		}
		delete(n.spans, i)
		u := s.update(n.cores[i].previous[len(n.cores[i].previous)-1])
		for span > 1 {
			part := (span + k - 1) / k
			for lo := part; lo < span; lo += part {
				j := (i + lo) % size
				width := min(part, span-lo)
				n.send(i, n.hosts[j].Name(), n.updateBytes(u), func(j int, c *Core) []Action {
					if c.State().Version() == u.Base() {
						n.spans[j] = width
					}
					return c.UpdateReceived(n.now, n.hosts[i].Name(), u)
				})
			}
			span = part
		}
	}
}

// measured is the cost of one change.
type measured struct {
	firstActive, allActive time.Duration
	missing                int // processes without the version after the push wave
	messages, bytes        int
	calls                  int
}

// change publishes a revision and measures its dissemination for
// activationTimeout.
func change(n *fakeNet, revision uint64) measured {
	published := n.now
	n.messages, n.bytes, n.platform.calls = 0, 0, 0
	n.platform.publish(deployment(revision, 2, 4, int(revision)))
	var m measured
	for m.allActive == 0 && n.now.Sub(published) < 10*activationTimeout {
		n.run(5 * time.Millisecond)
		got := n.agreed(revision)
		if m.firstActive == 0 && got > 0 {
			m.firstActive = n.now.Sub(published)
			m.missing = -1
		}
		// The push wave ends after its longest chain of hops, before the digests, one
		// per second, start to repair.
		if m.missing < 0 && n.now.Sub(published) >= m.firstActive+waveTime {
			m.missing = len(n.cores) - got
		}
		if got == len(n.cores) {
			m.allActive = n.now.Sub(published) - m.firstActive
			m.missing = max(m.missing, 0)
		}
	}
	n.run(max(0, activationTimeout-n.now.Sub(published)))
	m.messages, m.bytes, m.calls = n.messages, n.bytes, n.platform.calls
	return m
}

// waveTime is the maximum duration of eight hops.
const waveTime = 8 * maxHop

// TestDisseminationTable prints the comparison of docs/design/dissemination.md.
func TestDisseminationTable(t *testing.T) {
	sizes, changes := []int{10, 100, 1000}, 2
	if *full {
		sizes, changes = append(sizes, 10_000), 5
	}
	if !testing.Verbose() {
		sizes = sizes[:2]
	}
	var table strings.Builder
	for _, size := range sizes {
		for _, loss := range []float64{0, 0.01, 0.1} {
			for _, st := range strategies() {
				row(t, &table, st, size, loss, changes)
			}
		}
	}
	t.Logf("| way | processes | loss | to all: mean, worst (s) | left after the wave | messages a process | kB a process | reads/s |\n"+
		"|---|---|---|---|---|---|---|---|\n%s", table.String())
}

func row(t *testing.T, table *strings.Builder, st strategy, size int, loss float64, changes int) {
	n := warmNet(29, size, deployment(1, 2, 4, 1), st.setup)
	n.loss = loss
	n.spans = map[int]int{}
	if st.spread != nil {
		n.onActivated = func(i int, s *State) { st.spread(n, i, s) }
	}
	n.run(2 * time.Second)
	var sum measured
	var worst time.Duration
	for i := range changes {
		m := change(n, uint64(i+2))
		require.NotZero(t, m.allActive, "%s: the revision is not active at all %d processes", st.name, size)
		sum.allActive += m.allActive
		worst = max(worst, m.allActive)
		sum.missing += m.missing
		sum.messages += m.messages
		sum.bytes += m.bytes
		sum.calls += m.calls
	}
	require.Zero(t, n.reverted)
	per := float64(changes * size)
	fmt.Fprintf(table, "| %s | %d | %g %% | %.2f, %.2f | %.1f | %.1f | %.1f | %.0f |\n", st.name, size, loss*100,
		sum.allActive.Seconds()/float64(changes), worst.Seconds(), float64(sum.missing)/float64(changes),
		float64(sum.messages)/per, float64(sum.bytes)/per/1000,
		float64(sum.calls)/float64(changes)/activationTimeout.Seconds())
}
