package gdserve

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// TestSuppressedGrowthIsLogged: the counts of the lines about one reason add up to its
// total, although no line is written in most intervals.
func TestSuppressedGrowthIsLogged(t *testing.T) {
	var out bytes.Buffer
	l := &eventLogger{
		log: gdlog.New(&out, gdlog.Info), counts: make(map[string]uint64),
		drops: gdlog.RateLimit[string]{Interval: gdlog.DropInterval},
	}
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	total := uint64(0)
	for range 31 {
		total += 7
		l.logCounter(now, gdnode.Count{Name: gdroute.NoUpstream.String(), Value: total})
		l.logCounter(now, gdnode.Count{Name: gdroute.Held.String(), Value: total})
		now = now.Add(watchInterval)
	}
	logged := uint64(0)
	for d := json.NewDecoder(&out); d.More(); {
		var line struct {
			Reason string `json:"reason"`
			Count  uint64 `json:"count"`
			Total  uint64 `json:"total"`
		}
		require.NoError(t, d.Decode(&line))
		require.Equal(t, gdroute.NoUpstream.String(), line.Reason)
		logged += line.Count
		require.Equal(t, line.Total, logged)
	}
	require.Equal(t, total, logged)
}
