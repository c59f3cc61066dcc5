package gdagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCrowdedOpeningsNeedAProofUntilTheNextSecond(t *testing.T) {
	var o openings
	now := time.Unix(1_800_000_000, 0)
	for i := range 3 * freeOpenings {
		require.Equal(t, i >= freeOpenings, o.crowded(now.Add(time.Duration(i)*time.Millisecond)))
	}
	require.False(t, o.crowded(now.Add(time.Second)))
}
