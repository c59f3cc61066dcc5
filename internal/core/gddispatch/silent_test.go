package gddispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilentUpstreamsTakeNoFlowsOfOthers: agents are restarted in turn, then some upstreams fall
// silent. Flows that the others hold move to another entry host, and must reach their holders.
func TestSilentUpstreamsTakeNoFlowsOfOthers(t *testing.T) {
	const flows, upstreams = 100, 6
	for _, tc := range []struct {
		silent int
		pause  time.Duration // between two requests of different flows
		older  bool          // the agents are of an older build
	}{
		{1, 10 * time.Millisecond, false},
		{1, 0, false},
		{2, 10 * time.Millisecond, false},
		{3, 50 * time.Millisecond, false},
		{1, 10 * time.Millisecond, true},
		{2, 10 * time.Millisecond, true},
		{3, 50 * time.Millisecond, true},
	} {
		t.Run(fmt.Sprintf("%d silent, %s apart, older agents %t", tc.silent, tc.pause, tc.older), func(t *testing.T) {
			f := newFleet(t, 1, upstreams, 3)
			for i := range upstreams {
				f.addAgent(i, false).older = tc.older
			}
			for i := range tc.silent {
				f.agents[upstreamAt(i)].unresponsive = true
			}
			for i := range flows {
				f.after(time.Duration(i)*20*time.Millisecond, func() { f.open(0, callerKey(i)) })
			}
			f.run(3 * time.Second)
			require.GreaterOrEqual(t, f.heldFlows(), flows*9/10, "flows that were opened at the others")
			f.addEntry(1)
			for i := range flows {
				f.after(time.Duration(i)*tc.pause, func() {
					switch k := callerKey(i); {
					case f.ackOf(k) == 1: // it was not opened
					case tc.older:
						f.requestUntilReceived(1, k)
					default:
						f.request(1, k)
					}
				})
			}
			f.run(time.Duration(flows)*tc.pause + 2*time.Second)
			require.Empty(t, f.resets)
			for i := range flows {
				require.True(t, f.ackOf(callerKey(i)) == 1 || f.requested(callerKey(i)), "request on open flow %d", i)
			}
		})
	}
}

// heldFlows returns how many flows the upstreams hold.
func (f *fleet) heldFlows() int {
	n := 0
	for _, ag := range f.agents {
		n += len(ag.held)
	}
	return n
}
