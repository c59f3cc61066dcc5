package gdadmit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

const modelSeed = 1

// limiters are the compared limiters, each with a function that returns a controller.
var limiters = []struct {
	name string
	core func(*rand.Rand, int, *gdselector.Selector) admitter
}{
	{"fixed", newController[Fixed]},
	{"aimd", newController[AIMD]},
	{"gradient", newController[Gradient]},
	{"plain aimd", newController[plainAIMD]},
	{"plain gradient", newController[plainGradient]},
}

// plainAIMD is AIMD without slow start: it halves the limit on an error and raises it
// by one after as many good outcomes as the limit.
type plainAIMD struct {
	Fixed
	limit float64
}

func (p *plainAIMD) Limit(time.Time) int { return int(p.limit) }

func (p *plainAIMD) Init(_ time.Time, slots int, _ time.Duration) {
	p.slots, p.limit = slots, float64(slots)
}

func (p *plainAIMD) Observe(_ time.Time, s Sample) {
	if s.kind != OutcomeOK {
		p.limit /= 2
	} else if s.saturated {
		p.limit += 1 / p.limit
	}
	p.limit = min(max(p.limit, 1), float64(p.slots))
}

// plainGradient is Gradient without slow start.
type plainGradient struct{ Gradient }

func (p *plainGradient) Init(now time.Time, slots int, ramp time.Duration) {
	p.Gradient.Init(now, slots, ramp)
	p.limit = float64(slots)
}

func (p *plainGradient) Limit(time.Time) int { return int(p.limit) }

func (p *plainGradient) SlowThreshold() time.Duration { return 0 }

func (p *plainGradient) Observe(now time.Time, s Sample) {
	if s.kind != OutcomeOK {
		p.limit = max(p.limit/2, 1)
		return
	}
	p.baseline.add(now, s.latency, warmRiseTime)
	p.recent.add(s.latency, recentInverseWeight)
	if s.saturated {
		p.setLimit(p.target())
	}
}

func newController[T any, L interface {
	*T
	Limiter
}](r *rand.Rand, slots int, s *gdselector.Selector) admitter {
	return &Controller[L]{Slots: slots, Limiter: L(new(T)), Ramp: modelRamp, Rand: r, Selector: s}
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
		{"all turn cold", slots, 0.8, coldFault(modelUpstreams)},
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

// returnFault makes two upstreams leave for two seconds, during which their flows
// still send requests. They return cold.
func returnFault(m *model, now time.Time) {
	for _, n := range m.nodes[:2] {
		m.apply(now, n, n.core.SetMode(now, ModeLeaving))
		m.at(now.Add(2*time.Second), func(now time.Time) {
			n.back, n.cold = now, now
			m.apply(now, n, n.core.SetMode(now, ModeServing))
		})
	}
}

// quantile returns a quantile in milliseconds, or 0 if there are no values.
func quantile(ds []time.Duration, q float64) int64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[int(q*float64(len(ds)-1))].Milliseconds()
}

func (r result) goodput() float64 { return float64(r.good[0]) / (modelEnd - modelStart).Seconds() }

const tableHead = `| slots | scenario | limit | goodput | prio 1 | prio 2 | prio 3 | p99 ms | refused after p50 ms | p99 ms | uncertain | over | relayed | moved |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`

func (r result) print(s scenario, limiter string) {
	fmt.Printf("| %d | %s | %s | %.0f | %.3f | %.3f | %.3f | %d | %d | %d | %d | %d | %.3f | %d |\n",
		s.slots, s.name, limiter, r.goodput(), r.ratio(1), r.ratio(2), r.ratio(3), quantile(r.latency, 0.99),
		quantile(r.refusalWait, 0.5), quantile(r.refusalWait, 0.99), r.uncertain[0], r.overloads,
		float64(r.relayed)/float64(r.started), r.moved)
}

// TestPolicyTable runs the limiter in use through all scenarios and checks the bounds.
// With -v it also prints the table of all limiters.
func TestPolicyTable(t *testing.T) {
	if testing.Verbose() {
		fmt.Println(tableHead)
	}
	for _, slots := range []int{2, 3} {
		results := map[string]result{}
		for _, s := range scenarios(slots) {
			for _, p := range limiters {
				if p.name != "aimd" && !testing.Verbose() {
					continue
				}
				r := runModel(s, modelSeed, p.core)
				if p.name == "aimd" {
					results[s.name] = r
				}
				if testing.Verbose() {
					r.print(s, p.name)
				}
			}
		}
		checkBounds(t, results)
		// When the latency of a warm upstream grows, goodput is at most 5 % below
		// that of a fixed limit.
		for _, s := range scenarios(slots) {
			if s.name == "latency grows" {
				fixed := runModel(s, modelSeed, newController[Fixed])
				assert.GreaterOrEqual(t, results[s.name].goodput(), 0.95*fixed.goodput())
			}
		}
	}
}

// checkAlways checks the bounds that hold under every fault.
func checkAlways(t assert.TestingT, name string, r result) {
	// Relays and retries are at most a tenth of the started requests, plus the floor of the
	// budget: one in 10 s for each upstream.
	floor := modelUpstreams * modelEnd.Seconds() / 10
	assert.LessOrEqual(t, float64(r.relayed), float64(r.started)/10+floor, name)
	// A request is refused well before its deadline: after half its time, or a little
	// more if it was relayed first.
	assert.LessOrEqual(t, quantile(r.refusalWait, 1), (modelTimeout * 5 / 8).Milliseconds(), name)
}

// checkBounds checks the guarantees of the users' documentation.
func checkBounds(t *testing.T, results map[string]result) {
	for name, r := range results {
		checkAlways(t, name, r)
	}
	// Goodput does not fall as the offered load grows, and urgent requests go first.
	full := results["1x"]
	assert.LessOrEqual(t, quantile(full.refusalWait, 0.5), modelMean.Milliseconds())
	for _, name := range []string{"2x", "10x"} {
		r := results[name]
		// Most refusals are immediate, or within the time of one request.
		assert.LessOrEqual(t, quantile(r.refusalWait, 0.5), modelMean.Milliseconds(), name)
		assert.GreaterOrEqual(t, r.goodput(), 0.95*full.goodput(), name)
		assert.GreaterOrEqual(t, r.ratio(1), r.ratio(2), name)
		assert.GreaterOrEqual(t, r.ratio(2), r.ratio(3), name)
	}
	// At 2x, priority 1 alone needs two thirds of the slots.
	assert.GreaterOrEqual(t, results["2x"].ratio(1), full.ratio(1)-0.05)
	// Urgent requests are served while upstreams leave and return cold.
	assert.GreaterOrEqual(t, results["2 of 7 leave, return cold"].ratio(1), 0.95)
	// An upstream that is known to be cold is never overloaded.
	for _, name := range []string{"1x", "2 of 7 leave, return cold"} {
		assert.Zero(t, results[name].overloads, name)
	}
}

// TestUnannouncedColdUpstreamIsDetected bounds the number of requests that overload an
// upstream before its responses show that it is cold: the three consecutive outcomes
// that indicate a cold upstream.
func TestUnannouncedColdUpstreamIsDetected(t *testing.T) {
	for seed := range uint64(4) {
		s := scenario{"all turn cold", 3, 0.8, coldFault(modelUpstreams)}
		r := runModel(s, seed, newController[AIMD])
		assert.LessOrEqual(t, r.overloads, coldAfter*modelUpstreams, "seed %d", seed)
	}
}

// TestTwoFaultsAtOnce checks the guarantees under random pairs of faults.
func TestTwoFaultsAtOnce(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", "12"))
	defer func() { require.NoError(t, flag.Set("rapid.checks", propertyChecks)) }()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 3).Draw(t, "slots")
		faults := scenarios(slots)[3:]
		i := rapid.IntRange(0, len(faults)-1).Draw(t, "first")
		k := rapid.IntRange(0, len(faults)-1).Draw(t, "second")
		load := rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "load")
		s := scenario{"", slots, load, func(m *model, now time.Time) {
			faults[i].fault(m, now)
			faults[k].fault(m, now)
		}}
		r := runModel(s, rapid.Uint64().Draw(t, "seed"), newController[AIMD])
		checkAlways(t, faults[i].name+", "+faults[k].name, r)
		assert.LessOrEqual(t, r.overloads, coldAfter*modelUpstreams)
	})
}
