package gdguard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// TestRestoredSourceShowsOlderStatus: the source was restored from a copy that was made
// before the upstream drained or became cold, and an entry host believes the copy.
func TestRestoredSourceShowsOlderStatus(t *testing.T) {
	const boot, nextBoot = 1000, 2000
	status := func(revision gddiscovery.Revision, acceptsNew bool, startMilli int64, coldLeft time.Duration) gdguard.Header {
		h := header(revision)
		h.Status.AcceptsNew, h.Status.StartUnixMilli, h.Status.ColdLeft = acceptsNew, startMilli, coldLeft
		h.Status.ColdFor, h.Status.ColdFlowsPerSecond = 4*time.Second, 1
		return h
	}
	copied := gddiscovery.NewRevision(1, 60)
	tests := []struct {
		name   string
		before gdguard.Header
		after  gdguard.Header
		at     time.Duration
		want   gdguard.Reason // of the second flow, or 0 if it is accepted
	}{
		{"drained since the copy", status(104, false, boot, 0), status(copied, true, boot, 0), time.Second, gdguard.Draining},
		{"not written again in time", status(104, false, boot, 0), status(copied, true, boot, 0), 2100 * time.Millisecond, 0},
		{"started again", status(104, false, boot, 0), status(copied, true, nextBoot, 0), time.Second, 0},
		{"cold since the copy", status(104, true, boot, 3*time.Second), status(copied, true, boot, 0), time.Second, gdguard.Cold},
		{"no copy, brought back", status(104, false, boot, 0), status(105, true, boot, 0), time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &gdguard.Guard{Service: "booking", ObservedFromStart: true}
			g.UpdateStatus(start, tt.before)
			g.UpdateStatus(start, tt.after)
			now := start.Add(tt.at)
			first := only(t, g.HandleEntryPacket(now, entry, tt.after, openPacket(1)))
			second := only(t, g.HandleEntryPacket(now, entry, tt.after, openPacket(2)))
			if tt.want == 0 {
				require.Equal(t, gdguard.Deliver, first.Verb)
				require.Equal(t, gdguard.Deliver, second.Verb)
				return
			}
			require.Equal(t, gdguard.Return, second.Verb)
			require.Equal(t, tt.want, second.Reason)
		})
	}
}
