package gdadmit

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

// propertyChecks is the number of random runs of each property.
const propertyChecks = "1000"

// TestMain fixes the seed so that the result is reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// harness drives one controller and checks every action against the guarantees.
type harness struct {
	*rapid.T
	core    *DefaultController
	now     time.Time
	begin   time.Time
	next    uint64
	waiting map[uint64]Request
	arrived map[uint64]time.Time
	running map[uint64]Request
	streams map[uint64]Request
	started int
	charged int
}

func newHarness(t *rapid.T) *harness {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s := &gdselector.Selector{Rand: r}
	s.SetPeers([]gdconf.UpstreamID{2, 3})
	begin := time.Unix(1e9, 0)
	return &harness{
		T: t, now: begin, begin: begin,
		core: &DefaultController{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), MaxQueue: rapid.IntRange(1, 6).Draw(t, "queue"),
			Limiter: &AIMD{}, Rand: r, Selector: s, Ramp: time.Second,
		},
		waiting: map[uint64]Request{}, arrived: map[uint64]time.Time{},
		running: map[uint64]Request{}, streams: map[uint64]Request{},
	}
}

// check checks the actions of one event and records them.
func (h *harness) check(actions []Action) {
	starts := 0
	for _, a := range actions {
		r, ok := h.waiting[a.ID()]
		require.True(h, ok, "%v of request %d, which already has its action or is cancelled", a.Kind(), a.ID())
		delete(h.waiting, a.ID())
		switch a.Kind() {
		case KindStart:
			starts++
			h.started++
			h.running[a.ID()] = r
			require.Contains(h, []Mode{ModeServing, ModeStopping}, h.core.Mode())
			require.True(h, r.Deadline().After(h.now))
		case KindRefuse:
			require.True(h, a.NotRun())
			require.Positive(h, a.RetryAfter())
			h.checkRefusal(a, r)
		case KindRelay:
			require.True(h, a.NotRun())
			h.charge(a, r)
		}
	}
	if starts > 0 {
		require.LessOrEqual(h, len(h.running), min(h.core.Limiter.Limit(h.now), h.core.Slots))
	}
	require.LessOrEqual(h, len(h.waiting), h.core.MaxQueue)
}

func (h *harness) checkRefusal(a Action, r Request) {
	at := h.arrived[a.ID()]
	if at.Before(h.now) && a.Reason() == ReasonDeadline {
		share := time.Duration(2)
		if r.Hops() > 0 {
			share = 8
		}
		last := at.Add(r.Deadline().Sub(at)/share + WaitingTickInterval)
		require.False(h, h.now.After(last), "refused late: %v", h.now.Sub(at))
	}
	if a.Reason() == ReasonEvicted {
		for id, other := range h.waiting {
			require.LessOrEqual(h, other.Priority(), r.Priority(), "request %d of lower priority is still queued", id)
		}
	}
}

// charge counts a relay or retry and checks the budget.
func (h *harness) charge(a Action, r Request) {
	require.Contains(h, []gdconf.UpstreamID{2, 3}, a.Peer())
	require.Zero(h, r.Hops())
	if a.Reason() == ReasonLeaving && r.Established() {
		return
	}
	h.charged++
	allowed := float64(h.started)/10/3 + h.now.Sub(h.begin).Seconds()/10
	require.LessOrEqual(h, float64(h.charged), allowed)
}

func (h *harness) arrive() {
	h.next++
	var opts []Option
	for _, o := range []Option{Idempotent(), Established(), Stream(), Relayed(1)} {
		if rapid.Bool().Draw(h.T, "option") {
			opts = append(opts, o)
		}
	}
	left := time.Duration(rapid.IntRange(-1, 400).Draw(h.T, "deadline-ms")) * time.Millisecond
	r := NewRequest(h.next, rapid.IntRange(1, 3).Draw(h.T, "priority"), h.now.Add(left), opts...)
	h.waiting[r.ID()] = r
	h.arrived[r.ID()] = h.now
	h.check(h.core.Arrive(h.now, r))
	if m := h.core.Mode(); m != ModeServing {
		require.NotContains(h, h.waiting, r.ID(), "request without an action on arrival in mode %v", m)
	}
}

func (h *harness) finish() {
	id, r, ok := h.pick(h.running)
	if !ok {
		return
	}
	delete(h.running, id)
	kind := OutcomeKind(rapid.IntRange(int(OutcomeOK), int(OutcomeCancelled)).Draw(h.T, "outcome"))
	o := NewOutcome(kind, 0, rapid.Bool().Draw(h.T, "may-have-started"))
	h.check(h.core.Finish(h.now, id, o))
	a := h.core.Retry(h.now, r, o)
	require.Equal(h, !o.MayHaveStarted(), a.NotRun())
	if a.Kind() == KindRelay {
		require.True(h, r.Idempotent() || !o.MayHaveStarted())
		h.charge(a, r)
	}
}

func (h *harness) header() {
	if id, r, ok := h.pick(h.running); ok {
		if r.Stream() {
			delete(h.running, id)
			h.streams[id] = r
		}
		h.check(h.core.ObserveHeader(h.now, id))
		require.Equal(h, len(h.streams), h.core.OpenStreams())
	}
}

func (h *harness) cancel() {
	if id, _, ok := h.pick(h.waiting); ok {
		delete(h.waiting, id)
		h.check(h.core.Cancel(h.now, id))
	}
}

// advance advances the time and makes the ticks that the controller requests.
func (h *harness) advance() {
	end := h.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(h.T, "ms")) * time.Millisecond)
	for t := h.core.NextTick(); !t.IsZero() && !t.After(end); t = h.core.NextTick() {
		h.now = t
		h.check(h.core.Tick(h.now))
	}
	h.now = end
	h.core.ObserveProbe(h.now, rapid.Bool().Draw(h.T, "healthy"))
}

func (h *harness) mode() {
	m := Mode(rapid.IntRange(int(ModeServing), int(ModeOut)).Draw(h.T, "mode"))
	h.check(h.core.SetMode(h.now, m))
}

func (h *harness) peers() {
	for _, id := range []gdconf.UpstreamID{2, 3, 4} {
		h.core.ObservePeerLoad(h.now, id, gdselector.NewLoad(0, 0, rapid.IntRange(0, 2).Draw(h.T, "limit"), 0))
	}
}

// pick draws a request, by its index in the order of identifiers.
func (h *harness) pick(from map[uint64]Request) (uint64, Request, bool) {
	var ids []uint64
	for id := uint64(1); id <= h.next; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, Request{}, false
	}
	id := rapid.SampledFrom(ids).Draw(h.T, "id")
	return id, from[id], true
}

func TestPromisesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		ops := []func(){h.arrive, h.arrive, h.arrive, h.finish, h.finish, h.header, h.cancel, h.advance, h.peers}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			i := rapid.IntRange(0, len(ops)).Draw(t, "op")
			if i == len(ops) {
				h.mode()
				continue
			}
			ops[i]()
		}
		h.check(h.core.SetMode(h.now, ModeOut))
		require.Empty(t, h.waiting, "requests without an action")
	})
}
