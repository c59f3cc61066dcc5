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
	}{{1, 10 * time.Millisecond}, {1, 0}, {2, 10 * time.Millisecond}, {3, 50 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d silent, %s apart", tc.silent, tc.pause), func(t *testing.T) {
			f := newFleet(t, 1, upstreams, 3)
			for i := range upstreams {
				f.addAgent(i, false)
			}
			for i := range tc.silent {
				f.agents[upstreamAt(i)].unresponsive = true
			}
			for i := range flows {
				f.after(time.Duration(i)*20*time.Millisecond, func() { f.open(0, callerKey(i)) })
			}
			f.run(3 * time.Second)
			held := 0
			for _, ag := range f.agents {
				held += len(ag.held)
			}
			require.GreaterOrEqual(t, held, flows*9/10, "flows that were opened at the others")
			f.addEntry(1)
			for i := range flows {
				f.after(time.Duration(i)*tc.pause, func() {
					if f.ackOf(callerKey(i)) > 1 {
						f.request(1, callerKey(i))
					}
				})
			}
			f.run(time.Duration(flows)*tc.pause + 2*time.Second)
			require.Empty(t, f.resets)
			require.GreaterOrEqual(t, f.served(), held, "requests on open flows")
		})
	}
}
