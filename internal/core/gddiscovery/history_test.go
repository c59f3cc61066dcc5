package gddiscovery_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// TestQuietDeploymentHasNoRecentChanges plays a start with many changes, a quiet day and
// one more change. While nothing changed, each beacon of a reader repeated the last
// changes to every entry host, most of a reader's traffic at 300 hosts.
func TestQuietDeploymentHasNoRecentChanges(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	h := gddiscovery.History{Window: 700 * time.Millisecond}
	_, ok := h.Base(now)
	require.False(t, ok)
	h.Record(now, 10)
	h.Record(now.Add(100*time.Millisecond), 52)
	for _, tt := range []struct {
		after time.Duration
		want  uint64
	}{
		{300 * time.Millisecond, 10},
		{750 * time.Millisecond, 10},
		{801 * time.Millisecond, 52},
		{30 * time.Second, 52},
	} {
		base, ok := h.Base(now.Add(tt.after))
		require.True(t, ok)
		require.Equal(t, tt.want, base, "after %s", tt.after)
	}
	now = now.Add(40 * time.Second)
	h.Record(now, 53)
	base, _ := h.Base(now)
	require.EqualValues(t, 52, base, "the new change is recent, those of the start are not")
}
