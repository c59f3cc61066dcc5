package gdconfsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// TestBoundPacketCostsNoAllocation checks that the calls made for each packet don't
// allocate: the peer's version, the view, and whether the process may decide.
func TestBoundPacketCostsNoAllocation(t *testing.T) {
	s := &Syncer{Name: "booking-1", Platform: &fakePlatform{}}
	s.init()
	s.core.Start(time.Now())
	s.publish(time.Now())
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		s.ObservePeerVersion("booking-2", gdconf.Version{})
		_ = s.View()
		_ = s.MayDecide(time.Now())
	}))
}
