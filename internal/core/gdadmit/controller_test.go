package gdadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

var epoch = time.Unix(1e9, 0)

// ms returns the time n milliseconds after the epoch.
func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

// newWarm returns a controller with three slots whose limit has grown to three by
// ms(2000), with a warm latency of 10 ms.
func newWarm(t testing.TB) *DefaultController {
	c := &DefaultController{Slots: 3, Limiter: &AIMD{}, Ramp: time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	id := uint64(0)
	for at := 0; at < 2000; at += 10 {
		now := ms(at)
		for _, j := range append([]job{}, c.running...) {
			c.Finish(now, j.id, NewOutcome(OutcomeOK, 0, true))
		}
		for c.Load(now).Headroom() > 0 {
			id++
			c.Arrive(now, NewRequest(id, 1, time.Time{}))
		}
	}
	for _, j := range append([]job{}, c.running...) {
		c.Finish(ms(2000), j.id, NewOutcome(OutcomeOK, 0, true))
	}
	require.Equal(t, 3, c.Limiter.Limit(ms(2000)))
	return c
}

// TestOutcomesOutrankHealth checks that the limit follows outcomes rather than health
// checks.
func TestOutcomesOutrankHealth(t *testing.T) {
	tests := []struct {
		name  string
		event func(c *DefaultController)
		at    int
		want  int
	}{
		{"flapping health, good responses", func(c *DefaultController) {
			for i := range 10 {
				c.ObserveProbe(ms(2000+i), i%2 == 0)
			}
		}, 2010, 3},
		{"unhealthy, no recent good response", func(c *DefaultController) {
			c.ObserveProbe(ms(8000), true)
			c.ObserveProbe(ms(8001), false)
		}, 8001, 1},
		{"cold responses, healthy", func(c *DefaultController) {
			outcomes(c, 2010, OutcomeOK, 45, 45, 45)
			c.ObserveProbe(ms(2500), true)
		}, 2500, 1},
		{"shed responses, healthy", func(c *DefaultController) {
			outcomes(c, 2010, OutcomeShed, 1, 1)
			c.ObserveProbe(ms(2500), true)
		}, 2500, 1},
		{"mostly cold responses, healthy", func(c *DefaultController) {
			outcomes(c, 2010, OutcomeOK, 45, 35, 45, 35, 45, 35, 45, 35)
			c.ObserveProbe(ms(2500), true)
		}, 2500, 1},
		{"a single slow response", func(c *DefaultController) { outcomes(c, 2010, OutcomeOK, 45) }, 2100, 3},
		{"a caller's short deadline", func(c *DefaultController) { outcomes(c, 2010, OutcomeTimeout, 5, 5, 5) }, 2100, 3},
		{"callers cancel", func(c *DefaultController) { outcomes(c, 2010, OutcomeCancelled, 1, 1, 1) }, 2100, 3},
		{"idle", func(*DefaultController) {}, 13_000, 1},
		{"idle, then a warm response", func(c *DefaultController) { outcomes(c, 13_000, OutcomeOK, 15) }, 13_020, 3},
		{"idle, then a slower response", func(c *DefaultController) { outcomes(c, 13_000, OutcomeOK, 25) }, 13_030, 1},
		{"idle, then a failure", func(c *DefaultController) { outcomes(c, 13_000, OutcomeFailed, 5) }, 13_030, 1},
		{"no responses at all", func(c *DefaultController) {
			for id := range uint64(3) {
				c.Arrive(ms(2010), NewRequest(1e6+id, 1, time.Time{}))
			}
			c.Tick(ms(2110))
		}, 2110, 1},
		{"this process was paused", func(c *DefaultController) {
			for id := range uint64(3) {
				c.Arrive(ms(2010), NewRequest(1e6+id, 1, time.Time{}))
			}
			for id := range uint64(3) {
				c.Finish(ms(6000), 1e6+id, NewOutcome(OutcomeOK, 0, true))
			}
		}, 6000, 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newWarm(t)
			tc.event(c)
			require.Equal(t, tc.want, c.Limiter.Limit(ms(tc.at)))
		})
	}
}

// outcomes runs requests one after the other, each for took milliseconds.
func outcomes(c *DefaultController, at int, kind OutcomeKind, took ...int) {
	for i, d := range took {
		id := uint64(1e6 + i)
		c.Arrive(ms(at), NewRequest(id, 1, time.Time{}))
		at += d
		c.Finish(ms(at), id, NewOutcome(kind, 0, kind != OutcomeShed))
	}
}

func TestStreamReleasesItsSlotAndIsNotSlow(t *testing.T) {
	c := newWarm(t)
	c.MaxStreams = 4
	for id := range uint64(4) {
		c.Arrive(ms(2010), NewRequest(1e6+id, 2, time.Time{}, Stream()))
		c.ObserveHeader(ms(2020), 1e6+id)
	}
	require.Equal(t, 4, c.OpenStreams())
	require.Equal(t, 3, c.Load(ms(2020)).Headroom())
	full := c.Arrive(ms(2020), NewRequest(1, 2, time.Time{}, Stream()))
	require.Equal(t, ReasonStreamLimit, full[0].Reason())
	require.False(t, c.AcceptsFlow(ms(2020)))
	for id := range uint64(4) {
		c.Finish(ms(9000), 1e6+id, NewOutcome(OutcomeOK, 0, true))
	}
	require.Zero(t, c.OpenStreams())
	require.Equal(t, 3, c.Limiter.Limit(ms(9000)))
}

func TestStartsPauseWhenAllRequestsFail(t *testing.T) {
	c := newWarm(t)
	starts := 0
	for at := 2010; at < 22_010; at += 10 {
		c.Arrive(ms(at), NewRequest(uint64(1e6+at), 1, ms(at+20)))
		for len(c.running) > 0 {
			if at >= 12_010 {
				starts++
			}
			c.Finish(ms(at), c.running[0].id, NewOutcome(OutcomeFailed, 0, false))
		}
	}
	// Ten seconds contain five of the longest pauses, and one more may begin.
	require.LessOrEqual(t, starts, 6*coldAfter)
	require.Positive(t, starts)
}

func TestFullUpstreamRelaysAndLeavingOneMoves(t *testing.T) {
	c := newWarm(t)
	c.Selector = &gdselector.Selector{Rand: c.Rand}
	c.Selector.SetPeers([]gdconf.UpstreamID{9})
	c.ObservePeerLoad(ms(2000), 9, gdselector.NewLoad(0, 0, 4, 0))
	outcomes(c, 2010, OutcomeOK, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10)
	require.EqualValues(t, 10, c.Load(ms(2110)).Started())
	c.ObservePeerLoad(ms(2110), 9, gdselector.NewLoad(0, 0, 4, 10)) // 20 starts at two agents: one relay each
	kinds := map[Kind]int{}
	arrive := func(id uint64, o Option) {
		for _, a := range c.Arrive(ms(2110), NewRequest(id, 1, ms(2125), o)) {
			kinds[a.Kind()]++
		}
	}
	for id := range uint64(5) {
		arrive(id, Established())
	}
	require.Equal(t, map[Kind]int{KindStart: 3, KindRelay: 1, KindRefuse: 1}, kinds)
	require.True(t, c.AcceptsFlow(ms(2110)))
	c.SetMode(ms(2110), ModeLeaving)
	require.False(t, c.AcceptsFlow(ms(2110)))
	arrive(10, Established())
	arrive(11, Idempotent())
	require.Equal(t, map[Kind]int{KindStart: 3, KindRelay: 2, KindRefuse: 2}, kinds)
}

func TestWaitWithoutDeadlineIsBounded(t *testing.T) {
	c := newWarm(t)
	c.MaxWait = 30 * time.Millisecond
	var last []Action
	for id := range uint64(20) {
		last = c.Arrive(ms(2010), NewRequest(1e6+id, 1, time.Time{}))
	}
	// Twenty requests of 10 ms on three slots can't all start within 30 ms.
	require.Equal(t, KindRefuse, last[0].Kind())
	require.Equal(t, ReasonDeadline, last[0].Reason())
	require.GreaterOrEqual(t, last[0].RetryAfter(), 30*time.Millisecond)
}

func TestNextTickChangesOnlyWithEvents(t *testing.T) {
	c := newWarm(t)
	require.Zero(t, c.NextTick())
	c.Arrive(ms(2010), NewRequest(1, 1, time.Time{}))
	c.Load(ms(2050))
	c.ObserveProbe(ms(2060), true)
	require.Equal(t, ms(2010).Add(RunningTickInterval), c.NextTick())
}

func BenchmarkArriveFinish(b *testing.B) {
	c := newWarm(b)
	b.ReportAllocs()
	now := ms(2010)
	for id := uint64(1e6); b.Loop(); id++ {
		c.Arrive(now, NewRequest(id, 1, now.Add(time.Second), Idempotent()))
		now = now.Add(10 * time.Millisecond)
		c.Finish(now, id, NewOutcome(OutcomeOK, 0, true))
	}
}

// BenchmarkArriveOverload measures refusals with a full queue.
func BenchmarkArriveOverload(b *testing.B) {
	c := newWarm(b)
	now := ms(2010)
	id := uint64(1e6)
	for range DefaultMaxQueue + c.Slots {
		id++
		c.Arrive(now, NewRequest(id, 1, now.Add(time.Hour)))
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		c.Arrive(now, NewRequest(id, 2, now.Add(time.Hour)))
	}
}
