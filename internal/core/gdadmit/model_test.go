package gdadmit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

const (
	modelUpstreams = 7
	modelMean      = 40 * time.Millisecond
	modelTimeout   = 500 * time.Millisecond // from the arrival to the deadline
	modelRamp      = 4 * time.Second
	modelStart     = 6 * time.Second // measurements and faults begin here
	modelEnd       = 16 * time.Second
	coldLatency    = 5.0 // multiple of the warm latency right after a cold start
)

// scenario is one workload with its faults.
type scenario struct {
	name  string
	slots int
	load  float64 // offered load as a multiple of the capacity of all slots
	fault func(m *model, now time.Time)
}

// result holds the measurements from modelStart to modelEnd.
type result struct {
	arrived, good [4]int // by priority; index 0 is the sum
	overloads     int    // starts beyond the capacity of a cold upstream
	latency       []time.Duration
	uncertain     [4]int          // by priority: not served, but may have run
	refusalWait   []time.Duration // from arrival to a refusal "not run"
	// These counters cover the whole run: relayed counts relays and retries, moved
	// the relays of a leaving upstream.
	started, relayed, moved int
}

func (r result) ratio(p int) float64 { return float64(r.good[p]) / float64(max(r.arrived[p], 1)) }

// event is a function call at a point in virtual time.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// admitter is the controller without its type parameter.
type admitter interface {
	Arrive(time.Time, Request) []Action
	Finish(time.Time, uint64, Outcome) []Action
	Tick(time.Time) []Action
	NextTick() time.Time
	Load(time.Time) Load
	ObservePeerLoad(time.Time, gdconf.UpstreamID, Load)
	ObserveProbe(time.Time, bool)
	Retry(time.Time, Request, Outcome) Action
	SetMode(time.Time, Mode) []Action
}

// node is a simulated upstream with its controller.
type node struct {
	core    admitter
	running int
	cold    time.Time // start of the last cold start, or zero
	factor  func(now time.Time) float64
	shed    float64
	back    time.Time // return to service, or zero
	tick    time.Time
}

// capacity returns the number of requests that the upstream can run without crashing.
func (n *node) capacity(now time.Time, slots int) int {
	if n.cold.IsZero() {
		return slots
	}
	share := min(float64(now.Sub(n.cold))/float64(modelRamp), 1)
	return 1 + int(share*float64(slots-1))
}

// slowdown returns the factor by which requests take longer than when warm.
func (n *node) slowdown(now time.Time) float64 {
	f := 1.0
	if n.factor != nil {
		f = n.factor(now)
	}
	if !n.cold.IsZero() {
		share := min(float64(now.Sub(n.cold))/float64(modelRamp), 1)
		f *= coldLatency - share*(coldLatency-1)
	}
	return f
}

// model simulates one service of seven upstreams in virtual time.
type model struct {
	scenario
	events events
	seq    int
	rand   *rand.Rand
	begin  time.Time
	nodes  []*node
	calls  map[uint64]call
	res    result
}

type call struct {
	req      Request
	arrived  time.Time
	measured bool
}

func runModel(s scenario, seed uint64, newCore func(*rand.Rand, int, *gdselector.Selector) admitter) result {
	m := &model{scenario: s, rand: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1e9, 0), calls: map[uint64]call{}}
	ids := make([]gdconf.UpstreamID, modelUpstreams)
	for i := range ids {
		ids[i] = gdconf.UpstreamID(i)
	}
	for i := range ids {
		r := rand.New(rand.NewPCG(seed, uint64(i)+2))
		selector := &gdselector.Selector{Rand: r}
		selector.SetPeers(append(append([]gdconf.UpstreamID{}, ids[:i]...), ids[i+1:]...))
		m.nodes = append(m.nodes, &node{core: newCore(r, s.slots, selector)})
	}
	m.at(m.begin, m.arrive)
	m.at(m.begin, m.exchange)
	if s.fault != nil {
		m.at(m.begin.Add(modelStart), func(now time.Time) { s.fault(m, now) })
	}
	for end := m.begin.Add(modelEnd); m.events[0].at.Before(end); {
		e := heap.Pop(&m.events).(event)
		e.do(e.at)
	}
	return m.res
}

func (m *model) at(t time.Time, do func(time.Time)) {
	m.seq++
	heap.Push(&m.events, event{at: t, seq: m.seq, do: do})
}

// arrive sends one request to a random upstream by weight and schedules the next.
func (m *model) arrive(now time.Time) {
	rate := m.load * modelUpstreams * float64(m.slots) / modelMean.Seconds()
	m.at(now.Add(time.Duration(m.rand.ExpFloat64()/rate*1e9)), m.arrive)
	n := m.place(now)
	p := 1 + min(int(m.rand.Float64()*3), 2)
	opts := []Option{Established()}
	if p > 1 {
		opts = append(opts, Idempotent())
	}
	m.seq++
	r := NewRequest(uint64(m.seq), p, now.Add(modelTimeout), opts...)
	c := call{req: r, arrived: now, measured: now.Sub(m.begin) >= modelStart}
	m.calls[r.id] = c
	if c.measured {
		m.res.arrived[0]++
		m.res.arrived[p]++
	}
	m.apply(now, n, n.core.Arrive(now, r))
}

func (m *model) place(now time.Time) *node {
	for {
		n := m.nodes[m.rand.IntN(len(m.nodes))]
		if m.rand.Float64() < rampWeight(now, n.back) {
			return n
		}
	}
}

// rampWeight returns the share of its flows that a node gets that came back: 5 % at first,
// all of them after modelRamp.
func rampWeight(now, back time.Time) float64 {
	if back.IsZero() {
		return 1
	}
	const minWeight = 0.05
	return min(max(float64(now.Sub(back))/float64(modelRamp), minWeight), 1)
}

// exchange reports the loads to the peers with a delay of 5 ms, and reports a healthy
// probe whatever the state of the upstream.
func (m *model) exchange(now time.Time) {
	m.at(now.Add(50*time.Millisecond), m.exchange)
	for i, n := range m.nodes {
		n.core.ObserveProbe(now, true)
		l := n.core.Load(now)
		m.at(now.Add(5*time.Millisecond), func(now time.Time) {
			for j, peer := range m.nodes {
				if i != j {
					peer.core.ObservePeerLoad(now, gdconf.UpstreamID(i), l)
				}
			}
		})
	}
}

func (m *model) apply(now time.Time, n *node, actions []Action) {
	for _, a := range actions {
		c := m.calls[a.id]
		switch a.kind {
		case KindStart:
			m.start(now, n, c)
		case KindRefuse:
			if c.measured && a.reason != ReasonRetry && a.reason != ReasonUncertain {
				m.res.refusalWait = append(m.res.refusalWait, now.Sub(c.arrived))
			}
			delete(m.calls, a.id)
		case KindRelay:
			m.relay(now, a, c)
		}
	}
	if next := n.core.NextTick(); !next.IsZero() && !n.tick.After(now) {
		n.tick = next
		m.at(next, func(now time.Time) { m.apply(now, n, n.core.Tick(now)) })
	}
}

func (m *model) relay(now time.Time, a Action, c call) {
	if a.reason == ReasonLeaving {
		m.res.moved++
	} else {
		m.res.relayed++
	}
	peer := m.nodes[a.peer]
	c.req.hops++
	m.calls[a.id] = c
	m.at(now.Add(time.Millisecond), func(now time.Time) { m.apply(now, peer, peer.core.Arrive(now, c.req)) })
}

func (m *model) start(now time.Time, n *node, c call) {
	m.res.started++
	n.running++
	took := time.Duration(float64(modelMean) * n.slowdown(now) * (0.5 + 0.5*m.rand.ExpFloat64()))
	o := NewOutcome(OutcomeOK, 0, true)
	left := c.req.deadline.Sub(now)
	switch {
	case n.running > n.capacity(now, m.slots):
		m.res.overloads++
		n.cold = now // crashes and restarts
		took, o = time.Millisecond, NewOutcome(OutcomeShed, 0, false)
	case m.rand.Float64() < n.shed:
		took, o = time.Millisecond, NewOutcome(OutcomeShed, 0, false)
	case took > left:
		took, o = left, NewOutcome(OutcomeTimeout, 0, true)
	}
	m.at(now.Add(took), func(now time.Time) {
		n.running--
		m.end(now, n, c, o)
	})
}

func (m *model) end(now time.Time, n *node, c call, o Outcome) {
	actions := n.core.Finish(now, c.req.id, o)
	switch {
	case o.kind == OutcomeOK && c.measured:
		m.res.good[0]++
		m.res.good[c.req.priority]++
		m.res.latency = append(m.res.latency, now.Sub(c.arrived))
		delete(m.calls, c.req.id)
	case o.kind != OutcomeOK:
		a := n.core.Retry(now, c.req, o)
		if !a.NotRun() && c.measured {
			m.res.uncertain[0]++
			m.res.uncertain[c.req.priority]++
		}
		actions = append(actions, a)
	}
	m.apply(now, n, actions)
}

// linear returns a factor that grows from 1 to top between modelStart and modelEnd.
func (m *model) linear(top float64) func(time.Time) float64 {
	return func(now time.Time) float64 {
		share := float64(now.Sub(m.begin)-modelStart) / float64(modelEnd-modelStart)
		return 1 + math.Max(share, 0)*(top-1)
	}
}
