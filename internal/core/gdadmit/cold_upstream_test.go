package gdadmit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
)

// smallUpstream simulates an upstream with two slots that has capacity for one request
// when it is cold: each request that starts while another runs then takes ten times as
// long. It always gets as many requests as the limit allows.
type smallUpstream struct {
	limit *gdadmit.AIMD
	now   time.Time
	// The following slices have one element for each running request.
	ends  []time.Time
	began []time.Time
	late  []bool
	// overloads counts the starts beyond the capacity.
	overloads int
}

const (
	smallSlots       = 2
	smallWarmLatency = 25 * time.Millisecond
	smallSlowLatency = 10 * smallWarmLatency
	smallTick        = time.Millisecond
)

// run simulates the duration with the given capacity.
func (u *smallUpstream) run(duration time.Duration, capacity int) {
	for end := u.now.Add(duration); u.now.Before(end); u.now = u.now.Add(smallTick) {
		u.finish()
		for len(u.ends) < min(u.limit.Limit(u.now), smallSlots) {
			took := smallWarmLatency
			if len(u.ends) >= capacity {
				u.overloads++
				took = smallSlowLatency
			}
			u.ends = append(u.ends, u.now.Add(took))
			u.began = append(u.began, u.now)
			u.late = append(u.late, false)
		}
	}
}

// finish ends the requests that are due. Like the controller, it reports each request
// to the limiter once: at its end, or when it is late.
func (u *smallUpstream) finish() {
	for i := 0; i < len(u.ends); i++ {
		took := u.now.Sub(u.began[i])
		slow := u.limit.SlowThreshold()
		if !u.late[i] && slow > 0 && took >= slow {
			u.late[i] = true
			u.limit.Observe(u.now, gdadmit.NewSample(gdadmit.OutcomeOK, took, true))
		}
		if u.now.Before(u.ends[i]) {
			continue
		}
		if !u.late[i] {
			u.limit.Observe(u.now, gdadmit.NewSample(gdadmit.OutcomeOK, took, true))
		}
		u.ends = append(u.ends[:i], u.ends[i+1:]...)
		u.began = append(u.began[:i], u.began[i+1:]...)
		u.late = append(u.late[:i], u.late[i+1:]...)
		i--
	}
}

// TestSmallColdUpstreamIsNotOverloadedRepeatedly checks that the limit, once it
// has fallen to the capacity of a cold upstream, stays there until the ramp is over.
// The upstream is overloaded only as often as needed to detect that it is cold.
func TestSmallColdUpstreamIsNotOverloadedRepeatedly(t *testing.T) {
	const ramp = 10 * time.Second
	u := &smallUpstream{limit: &gdadmit.AIMD{}, now: time.Unix(1000, 0)}
	u.limit.Init(u.now, smallSlots, ramp)
	u.run(2*ramp, smallSlots)
	require.Equal(t, smallSlots, u.limit.Limit(u.now), "warm")
	require.Zero(t, u.overloads)
	u.run(ramp*8/10, 1)
	// The slots in use when it turns cold, and three bad outcomes to detect it.
	require.LessOrEqual(t, u.overloads, smallSlots+3)
}
