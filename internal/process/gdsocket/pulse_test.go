package gdsocket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledProcessConcludesNothing: seed 4 of the soak, on a machine with more processes
// than cores: an entry host did not run for the 200 ms of a probe, took the agent's host for
// unreachable and reset the flows there. A host with a share of a core runs several times
// within a probe, and its probes count.
func TestStalledProcessConcludesNothing(t *testing.T) {
	for _, tt := range []struct {
		name    string
		beats   []time.Duration // since the start of the probe
		stalled bool
	}{
		{"on time", []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond}, false},
		{"a fifth of a core", []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond}, false},
		{"did not run", []time.Duration{205 * time.Millisecond}, true},
		{"did not run in between", []time.Duration{10 * time.Millisecond, 190 * time.Millisecond, 200 * time.Millisecond}, true},
	} {
		start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		p := pulse{last: start}
		for _, d := range tt.beats {
			p.beat(start.Add(d))
		}
		require.Equal(t, tt.stalled, p.longest > maxStall, tt.name)
	}
}
