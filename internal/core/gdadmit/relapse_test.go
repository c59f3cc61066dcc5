package gdadmit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
)

// relapse is an upstream with two slots that bears one request when cold. Each that
// starts while another runs takes ten times as long. It is always asked for as
// much as the limit allows.
type relapse struct {
	limit *gdadmit.AIMD
	now   time.Time
	ends  []time.Time // of the running requests
	began []time.Time
	late  []bool
	over  int
}

const (
	relapseSlots = 2
	relapseWarm  = 25 * time.Millisecond
	relapseSlow  = 10 * relapseWarm
	relapseTick  = time.Millisecond
)

// run lets the time pass until the end, with the upstream bearing so many.
func (r *relapse) run(length time.Duration, bears int) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(relapseTick) {
		r.finish()
		for len(r.ends) < min(r.limit.Limit(r.now), relapseSlots) {
			took := relapseWarm
			if len(r.ends) >= bears {
				r.over++
				took = relapseSlow
			}
			r.ends = append(r.ends, r.now.Add(took))
			r.began = append(r.began, r.now)
			r.late = append(r.late, false)
		}
	}
}

// finish ends what is due and tells the limiter once of each request: at its
// end, or when it is late, as the core does.
func (r *relapse) finish() {
	for i := 0; i < len(r.ends); i++ {
		took := r.now.Sub(r.began[i])
		slow := r.limit.SlowThreshold()
		if !r.late[i] && slow > 0 && took >= slow {
			r.late[i] = true
			r.limit.Observe(r.now, gdadmit.NewSample(gdadmit.OutcomeOK, took, true))
		}
		if r.now.Before(r.ends[i]) {
			continue
		}
		if !r.late[i] {
			r.limit.Observe(r.now, gdadmit.NewSample(gdadmit.OutcomeOK, took, true))
		}
		r.ends = append(r.ends[:i], r.ends[i+1:]...)
		r.began = append(r.began[:i], r.began[i+1:]...)
		r.late = append(r.late[:i], r.late[i+1:]...)
		i--
	}
}

// TestSmallUpstreamThatTurnsColdIsNotLoadedAgainAndAgain wants that, once the
// limit has fallen to what a cold upstream bears, it stays there until the ramp
// is over: the upstream is then asked for more than it bears no more often than
// it takes to notice.
func TestSmallUpstreamThatTurnsColdIsNotLoadedAgainAndAgain(t *testing.T) {
	const ramp = 10 * time.Second
	r := &relapse{limit: &gdadmit.AIMD{}, now: time.Unix(1000, 0)}
	r.limit.Init(r.now, relapseSlots, ramp)
	r.run(2*ramp, relapseSlots)
	require.Equal(t, relapseSlots, r.limit.Limit(r.now), "warm")
	require.Zero(t, r.over)
	r.run(ramp*8/10, 1)
	// The slots that were taken, and three bad answers to notice it.
	require.LessOrEqual(t, r.over, relapseSlots+3)
}
