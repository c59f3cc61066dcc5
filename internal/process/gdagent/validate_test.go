package gdagent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOpeningsOverLimitNeedValidationUntilTheNextSecond(t *testing.T) {
	var o openings
	now := time.Unix(1_800_000_000, 0)
	for i := range 3 * unvalidatedPerSecond {
		require.Equal(t, i >= unvalidatedPerSecond, o.overLimit(now.Add(time.Duration(i)*time.Millisecond)))
	}
	require.False(t, o.overLimit(now.Add(time.Second)))
}
