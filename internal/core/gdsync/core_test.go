package gdsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// inForceWithin is the time within which an accepted configuration is in
	// force everywhere, from the sixth second.
	inForceWithin = 6 * time.Second
)

// settle starts a fleet on revision 1.
func settle(t *testing.T, seed uint64, size int) *fakeNet {
	t.Helper()
	n := newNet(seed, size)
	n.platform.publish(deployment(1, 2, 4, 0))
	n.run(20 * time.Second)
	require.Equal(t, size, n.agreed(1))
	return n
}

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	for _, size := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := settle(t, 7, size)
			n.loss = 0.1
			for revision := uint64(2); revision < 5; revision++ {
				n.platform.publish(deployment(revision, 2, 4, int(revision)))
				n.run(inForceWithin)
				require.Equal(t, size, n.agreed(revision))
			}
			require.Zero(t, n.reverted)
		})
	}
}
