package gdadmit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdspread"
)

const modelSeed = 1

// policies make the core under each limiter.
var policies = []struct {
	name string
	core func(*rand.Rand, int, *gdspread.Core) admitter
}{
	{"fixed", guard[Fixed]},
	{"aimd", guard[AIMD]},
	{"gradient", guard[Gradient]},
}

func guard[T any, L interface {
	*T
	Limiter
}](r *rand.Rand, slots int, s *gdspread.Core) admitter {
	return &Guard[L]{Slots: slots, Limit: L(new(T)), Ramp: modelRamp, Rand: r, Spread: s}
}

func scenarios(slots int) []scenario {
	each := func(first int, f func(*node)) func(*model, time.Time) {
		return func(m *model, _ time.Time) {
			for _, n := range m.nodes[:first] {
				f(n)
			}
		}
	}
	return []scenario{
		{"1x", slots, 1, nil},
		{"2x", slots, 2, nil},
		{"10x", slots, 10, nil},
		{"1 of 7 turns cold", slots, 0.8, coldFault(1)},
		{"all turn cold", slots, 0.8, coldFault(modelTargets)},
		{"1 of 7 slow", slots, 0.8, each(1, func(n *node) { n.factor = func(time.Time) float64 { return 5 } })},
		{"latency grows", slots, 0.8, func(m *model, _ time.Time) {
			for _, n := range m.nodes {
				n.factor = m.linear(4)
			}
		}},
		{"4 of 7 shed half", slots, 0.8, each(4, func(n *node) { n.shed = 0.5 })},
		{"2 of 7 leave, return cold", slots, 0.6, returnFault},
	}
}

func coldFault(n int) func(*model, time.Time) {
	return func(m *model, now time.Time) {
		for _, x := range m.nodes[:n] {
			x.cold = now
		}
	}
}

// returnFault takes two upstreams out for two seconds; they come back cold.
func returnFault(m *model, now time.Time) {
	for _, n := range m.nodes[:2] {
		n.out = true
		m.apply(now, n, n.core.SetMode(now, ModeLeaving))
		m.at(now.Add(2*time.Second), func(now time.Time) {
			n.out, n.back, n.cold = false, now, now
			m.apply(now, n, n.core.SetMode(now, ModeServing))
		})
	}
}

// quantile returns a quantile in milliseconds, or 0 for no values.
func quantile(ds []time.Duration, q float64) int64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[int(q*float64(len(ds)-1))].Milliseconds()
}

func TestPolicyTable(t *testing.T) {
	for _, slots := range []int{2, 3} {
		for _, s := range scenarios(slots) {
			for _, p := range policies {
				r := runModel(s, modelSeed, p.core)
				fmt.Printf("| %d | %s | %s | %.0f | %.3f | %.3f | %.3f | %d | %d | %d | %d | %d | %d | %.3f | %d |\n", slots, s.name, p.name,
					float64(r.good[0])/(modelEnd-modelStart).Seconds(), r.ratio(1), r.ratio(2), r.ratio(3),
					quantile(r.latency, 0.99), quantile(r.refusalWait, 0.5), quantile(r.refusalWait, 0.99), r.uncertain[0], r.uncertain[1], r.over, float64(r.passed)/float64(r.started), r.moved)
			}
		}
	}
}
