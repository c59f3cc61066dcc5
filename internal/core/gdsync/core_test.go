package gdsync

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
)

const (
	// activationTimeout is the required time for a valid configuration to become
	// active everywhere.
	activationTimeout = 6 * time.Second
	// maxReadsPerSecond is the designed limit on the rate of platform calls of the
	// whole fleet.
	maxReadsPerSecond = 200.0
)

// settledNet starts a fleet and waits until all processes have revision 1
// active.
func settledNet(t *testing.T, seed uint64, size int) *fakeNet {
	t.Helper()
	n := newNet(seed, size)
	n.platform.publish(deployment(1, 2, 4, 0))
	n.run(20 * time.Second)
	require.Equal(t, size, n.agreed(1))
	return n
}

func TestChangeIsActiveEverywhereInTime(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 10, 100, 1000, 10_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := warmNet(7, size, deployment(1, 2, 4, 0), nil)
			n.loss = 0.1
			n.platform.publish(deployment(2, 2, 4, 2))
			n.run(activationTimeout)
			require.Equal(t, size, n.agreed(2))
			require.LessOrEqual(t, float64(n.platform.calls), maxReadsPerSecond*activationTimeout.Seconds())
		})
	}
}

func TestChangeIsActiveInTimeUnderFaults(t *testing.T) {
	t.Parallel()
	const size = 500
	faults := map[string]func(n *fakeNet){
		"slow platform": func(n *fakeNet) { n.platform.slow = time.Second },
		"a tenth of the listed hosts does not exist": func(n *fakeNet) {
			for i := range size / 10 {
				n.hostList = append(n.hostList, NewMember(fmt.Sprintf("gone-%d", i), agentAddress(9000+i)))
			}
			n.hostList = append(n.hostList, n.hosts...)
		},
		"a tenth of the hosts is not listed": func(n *fakeNet) {
			for i, h := range n.hosts {
				if i%10 != 9 {
					n.hostList = append(n.hostList, h)
				}
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			n := warmNet(8, size, deployment(1, 2, 4, 0), nil)
			fault(n)
			for i, c := range n.cores {
				n.do(i, c, c.HostsRead(n.now, n.listed()))
			}
			n.loss = 0.1
			n.run(3 * time.Second)
			n.platform.publish(deployment(2, 2, 4, 2))
			n.run(activationTimeout)
			require.Equal(t, size, n.agreed(2))
		})
	}
}

func TestFleetThatStartsAtOnceStaysWithinTheReadBudget(t *testing.T) {
	t.Parallel()
	for _, size := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := settledNet(t, 3, size)
			// Each process reads the list of hosts once. Further calls share the budget.
			require.LessOrEqual(t, float64(n.platform.calls-size), maxReadsPerSecond*20)
			n.platform.calls = 0
			n.run(20 * time.Second)
			require.LessOrEqual(t, float64(n.platform.calls), maxReadsPerSecond*20)
		})
	}
}

func TestChangeOfManyServicesStaysWithinTheReadBudget(t *testing.T) {
	t.Parallel()
	const size, services = 300, 100
	d := deployment(2, services, 1, 0)
	for name, n := range map[string]*fakeNet{
		"change": warmNet(5, size, deployment(1, 2, 4, 0), nil),
		"start":  newNet(5, size),
	} {
		t.Run(name, func(t *testing.T) {
			n.run(5 * time.Second)
			n.platform.calls = 0
			n.platform.publish(d)
			n.run(20 * time.Second)
			require.Equal(t, size, n.agreed(2))
			require.LessOrEqual(t, float64(n.platform.calls), maxReadsPerSecond*20)
			t.Logf("%d calls in 20 s for %d values, active everywhere after %s", n.platform.calls, services+1, n.activationSpread(d.Revision))
		})
	}
}

func TestFailedReaderIsReplaced(t *testing.T) {
	n := warmNet(6, 100, deployment(1, 2, 4, 0), nil)
	dead := -1
	n.run(2 * time.Second)
	n.platform.publish(deployment(2, 100, 1, 0))
	n.platform.after = func(keys []string) {
		if dead < 0 && keys[0] != config.IndexKey {
			for i, c := range n.cores {
				if c.holdsLease() && len(c.fetch.missing) > 0 {
					dead = i
				}
			}
		}
	}
	n.run(700 * time.Millisecond)
	require.GreaterOrEqual(t, dead, 0)
	n.cut = func(a, b int) bool { return a == dead || b == dead }
	n.platformUnreachable = func(i int) bool { return i == dead }
	n.run(20 * time.Second)
	require.Equal(t, 99, n.agreed(2))
}

func TestFleetThatStartsInAnOutageBacksOff(t *testing.T) {
	t.Parallel()
	n := newNet(4, 300)
	n.platform.down = true
	n.run(2 * time.Minute)
	n.platform.calls = 0
	n.run(20 * time.Second)
	require.LessOrEqual(t, float64(n.platform.calls), maxReadsPerSecond*20)
	n.platform.down = false
	n.platform.publish(deployment(1, 2, 4, 0))
	n.run(time.Minute) // no time limit is specified for the start of a whole fleet, but it must complete
	require.Equal(t, 300, n.agreed(1))
}

func TestPlatformDownAfterTheFirstReader(t *testing.T) {
	n := settledNet(t, 11, 100)
	n.loss = 0.1
	n.platform.publish(deployment(2, 2, 4, 2))
	n.platform.after = func(keys []string) { n.platform.down = keys[0] != config.IndexKey || n.platform.down }
	n.run(activationTimeout)
	require.True(t, n.platform.down)
	require.Equal(t, 100, n.agreed(2))
}

func TestStalePlatformNeverRevertsConfiguration(t *testing.T) {
	n := settledNet(t, 12, 100)
	n.platform.publish(deployment(2, 2, 4, 2))
	n.platform.stale = 0.7
	n.run(30 * time.Second)
	n.platform.stale = 1
	n.run(30 * time.Second)
	require.Equal(t, 100, n.agreed(2))
	require.Zero(t, n.reverted)
}

func TestGarbageOnThePlatformChangesNothing(t *testing.T) {
	garbled := map[string]func(values map[string][]byte){
		"index":                  func(v map[string][]byte) { v["index"] = []byte("\x00<html>") },
		"absent-index":           func(v map[string][]byte) { delete(v, "index") },
		"value":                  func(v map[string][]byte) { v["service-service-1"] = []byte("\x00<html>") },
		"absent-value":           func(v map[string][]byte) { delete(v, "service-service-1") },
		"value-of-other-service": func(v map[string][]byte) { v["service-service-1"] = v["service-service-0"] },
	}
	for name, corrupt := range garbled {
		t.Run(name, func(t *testing.T) {
			n := settledNet(t, 13, 10)
			n.platform.publish(deployment(2, 2, 4, 2))
			corrupt(n.platform.values)
			n.run(activationTimeout)
			require.Equal(t, 10, n.agreed(1))
			require.NotEmpty(t, n.cores[0].Status(n.now).PlatformError)
			n.platform.publish(deployment(3, 2, 4, 3))
			n.run(activationTimeout)
			require.Equal(t, 10, n.agreed(3))
			require.Empty(t, n.cores[0].Status(n.now).PlatformError)
		})
	}
}

func TestUnchangedIndexIsTriedAgain(t *testing.T) {
	n := settledNet(t, 19, 1)
	c := n.cores[0]
	values := split(deployment(2, 2, 4, 2))
	index := PlatformValue{Key: config.IndexKey, Data: values[config.IndexKey]}
	reads := c.PlatformRead(n.now, ReadResult{Values: []PlatformValue{index}})
	require.Len(t, reads, 1)
	key := reads[0].(ReadPlatform).Keys[0]
	require.Empty(t, c.PlatformRead(n.now, ReadResult{Values: []PlatformValue{{Key: key}}}), "the value lags behind the index")
	again := c.PlatformRead(n.now, ReadResult{Values: []PlatformValue{{Key: config.IndexKey, Unchanged: true}}})
	require.Equal(t, reads, again)
	c.PlatformRead(n.now, ReadResult{Values: []PlatformValue{{Key: key, Data: values[key]}}})
	require.EqualValues(t, 2, c.View().Version().Revision())
	require.Empty(t, c.PlatformRead(n.now, ReadResult{Values: []PlatformValue{{Key: config.IndexKey, Unchanged: true}}}))
}

func TestFreshProcessesDuringAnOutage(t *testing.T) {
	n := settledNet(t, 14, 100)
	n.platform.down = true
	n.loss = 0.1
	for i := range 5 {
		n.start(i * 7)
	}
	require.Equal(t, 95, n.agreed(1))
	n.run(activationTimeout)
	require.Equal(t, 100, n.agreed(1))
}

func TestProcessWithoutAnyListLearnsItsPeersFromTheirDigests(t *testing.T) {
	n := settledNet(t, 21, 20)
	n.platform.down = true
	n.setup = func(c *Core) { c.Seeds = nil }
	n.start(10)
	n.run(activationTimeout)
	require.Equal(t, 20, n.agreed(1))
}

func TestNewProcessFetchesOneSnapshot(t *testing.T) {
	n := settledNet(t, 18, 100)
	pulls := 0
	n.onPull = func(i int) {
		if i == 40 {
			pulls++
		}
	}
	n.start(40)
	n.run(activationTimeout)
	require.Equal(t, 100, n.agreed(1))
	require.Equal(t, 1, pulls)
}

func TestPartitionHeals(t *testing.T) {
	n := settledNet(t, 15, 100)
	far := func(i int) bool { return i%2 == 1 }
	n.cut = func(a, b int) bool { return far(a) != far(b) }
	n.platformUnreachable = far
	n.platform.publish(deployment(2, 2, 4, 2))
	n.run(activationTimeout)
	require.Equal(t, 50, n.agreed(2))
	require.Equal(t, 50, n.agreed(1))
	n.cut = nil // the platform stays unreachable
	n.run(activationTimeout)
	require.Equal(t, 100, n.agreed(2))
}

func TestTwoOperatorsEndWithOneConfiguration(t *testing.T) {
	for seed := range uint64(5) {
		n := settledNet(t, 20+seed, 100)
		n.platform.publish(deployment(2, 2, 4, 2))
		n.run(40 * time.Millisecond)
		n.platform.publish(deployment(2, 2, 4, 3))
		n.run(activationTimeout)
		require.Equal(t, 100, n.agreed(2))
		for _, v := range n.highest {
			require.Equal(t, n.highest[0], v)
		}
		require.Zero(t, n.reverted)
	}
}

// invalid returns the values of a deployment, with one upstream that has no
// slots.
func invalid(d config.Deployment) map[string][]byte {
	values := split(d)
	key := config.ServiceKey(d.Services[0].Name)
	before := config.Digest(values[key])
	values[key] = bytes.Replace(values[key], []byte("slots = 3"), []byte("slots = 0"), 1)
	after := config.Digest(values[key])
	values[config.IndexKey] = bytes.Replace(values[config.IndexKey], []byte(before), []byte(after), 1)
	return values
}

func TestInvalidConfigurationIsRejectedEverywhereAlike(t *testing.T) {
	n := settledNet(t, 16, 100)
	n.platform.values = invalid(deployment(2, 2, 4, 2))
	n.run(10 * time.Second)
	require.Equal(t, 100, n.agreed(1))
	require.Equal(t, 100, n.rejected, "once in each process")
	for _, c := range n.cores {
		s := c.Status(n.now)
		require.EqualValues(t, 2, s.RejectedRevision)
		require.Equal(t, "services.service-0.upstreams.service-0-0.slots: 0 is not between 1 and 100000", s.RejectedReason)
	}
	n.platform.publish(deployment(3, 2, 4, 3))
	n.run(activationTimeout)
	require.Equal(t, 100, n.agreed(3))
}

func TestOldVersionIsCorrectedOnUse(t *testing.T) {
	n := settledNet(t, 17, 10)
	n.cut = func(a, b int) bool { return a == 9 || b == 9 }
	n.platformUnreachable = func(i int) bool { return i == 9 }
	n.platform.publish(deployment(2, 2, 4, 2))
	n.run(activationTimeout)
	older, newer := n.cores[9], n.cores[0]
	require.Equal(t, []Action{Pull{From: n.hosts[0], Have: older.State().Version()}},
		older.VersionReceived(n.now, n.hosts[0].Name(), newer.State().Version()))
	st := older.Status(n.now)
	require.Equal(t, older.State().Version(), st.Version)
	require.Equal(t, newer.State().Version(), st.Seen, "known, and not fetched yet")
	acts := newer.VersionReceived(n.now, n.hosts[9].Name(), older.State().Version())
	require.Len(t, acts, 1)
	push := acts[0].(Push)
	require.False(t, push.Update.IsSnapshot())
	require.Len(t, push.Update.Values, 1, "only the changed service")
	require.Empty(t, newer.VersionReceived(n.now, n.hosts[9].Name(), older.State().Version()), "rate limited")
	n.run(time.Second)
	require.Len(t, newer.VersionReceived(n.now, n.hosts[9].Address(), older.State().Version()), 1, "found by address too")
	older.UpdateReceived(n.now, n.hosts[0].Name(), push.Update)
	require.EqualValues(t, 2, older.View().Version().Revision())
}
