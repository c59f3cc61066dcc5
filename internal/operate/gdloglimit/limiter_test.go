package gdloglimit_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdloglimit"
)

// TestResetsAreWrittenInABurst plays the second after a power loss: thousands of offers and
// refusals, and then the resets that callers ask about.
func TestResetsAreWrittenInABurst(t *testing.T) {
	var out bytes.Buffer
	var l gdloglimit.Limiter
	log := gdlog.New(&out, gdlog.Info)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for range 5000 {
		l.Event(now, log, gdlog.FlowOffered, "flow", "f")
	}
	for range 80 {
		l.Event(now, log, gdlog.FlowReset, "flow", "f")
	}
	require.Equal(t, 80, strings.Count(out.String(), `"event":513`))
	require.Equal(t, 100, strings.Count(out.String(), `"event":510`))
	for range 5000 {
		l.Event(now, log, gdlog.PacketDropped, "flow", "f")
	}
	require.Equal(t, gdloglimit.MaxPerSecond, strings.Count(out.String(), "\n"), "the bound holds for all together")
	l.Event(now.Add(time.Second), log, gdlog.FlowOffered, "flow", "f")
	require.Contains(t, out.String(), `"count":9880`)
}
