package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestReturnedUpstreamIsFound plays an upstream that stops answering, is then found to have
// exited, and comes back without sending anything itself. Probes must still reach it: when
// both states held, each used up the other's probe, and the upstream got nothing more.
func TestReturnedUpstreamIsFound(t *testing.T) {
	for name, exits := range map[string]bool{"silent": false, "silent and exited": true} {
		t.Run(name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			now := start
			h := header(5)
			h.Forced = true
			for i := range 6 { // nothing answers
				g.HandleEntryPacket(now, entry, h, openPacket(i))
				now = now.Add(20 * time.Millisecond)
			}
			if exits {
				g.HandleUpstreamExit(now)
				for i := range 4 { // probes that nothing answers either
					now = now.Add(250 * time.Millisecond)
					g.HandleEntryPacket(now, entry, h, openPacket(10+i))
				}
			}
			// The upstream is back.
			found := false
			for i := 100; i < 200 && !found; i++ {
				now = now.Add(10 * time.Millisecond)
				if g.HandleEntryPacket(now, entry, h, openPacket(i))[0].Verb == gdguard.Deliver {
					g.HandleUpstreamPacket(now, packet(i, gdflow.Accept, 7, 1, 0))
					found = true
				}
			}
			require.True(t, found, "no probe within a second")
			require.Equal(t, gdguard.Deliver, only(t, g.HandleEntryPacket(now, entry, h, openPacket(300))).Verb)
		})
	}
}
