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

// propertyChecks is the number of random runs of a property.
const propertyChecks = "1000"

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// world drives one core and checks every action against the promises.
type world struct {
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

func newWorld(t *rapid.T) *world {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s := &gdselector.Selector{Rand: r}
	s.SetPeers([]gdconf.UpstreamID{2, 3})
	begin := time.Unix(1e9, 0)
	return &world{
		T: t, now: begin, begin: begin,
		core: &DefaultController{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), MaxQueue: rapid.IntRange(1, 6).Draw(t, "queue"),
			Limiter: &AIMD{}, Rand: r, Selector: s, Ramp: time.Second,
		},
		waiting: map[uint64]Request{}, arrived: map[uint64]time.Time{},
		running: map[uint64]Request{}, streams: map[uint64]Request{},
	}
}

// check takes in the actions of one event.
func (w *world) check(actions []Action) {
	starts := 0
	for _, a := range actions {
		r, ok := w.waiting[a.ID()]
		require.True(w, ok, "%v of request %d, which has its action or is cancelled", a.Kind(), a.ID())
		delete(w.waiting, a.ID())
		switch a.Kind() {
		case KindStart:
			starts++
			w.started++
			w.running[a.ID()] = r
			require.Contains(w, []Mode{ModeServing, ModeStopping}, w.core.Mode())
			require.True(w, r.Deadline().After(w.now))
		case KindRefuse:
			require.True(w, a.NotRun())
			require.Positive(w, a.RetryAfter())
			w.checkRefusal(a, r)
		case KindRelay:
			require.True(w, a.NotRun())
			w.charge(a, r)
		}
	}
	if starts > 0 {
		require.LessOrEqual(w, len(w.running), min(w.core.Limiter.Limit(w.now), w.core.Slots))
	}
	require.LessOrEqual(w, len(w.waiting), w.core.MaxQueue)
}

func (w *world) checkRefusal(a Action, r Request) {
	at := w.arrived[a.ID()]
	if at.Before(w.now) && a.Reason() == ReasonDeadline {
		share := time.Duration(2)
		if r.Hops() > 0 {
			share = 8
		}
		last := at.Add(r.Deadline().Sub(at)/share + WaitingTickInterval)
		require.False(w, w.now.After(last), "refused late: %v", w.now.Sub(at))
	}
	if a.Reason() == ReasonEvicted {
		for id, other := range w.waiting {
			require.LessOrEqual(w, other.Priority(), r.Priority(), "request %d stays", id)
		}
	}
}

// charge checks the budget of relays and retries.
func (w *world) charge(a Action, r Request) {
	require.Contains(w, []gdconf.UpstreamID{2, 3}, a.Peer())
	require.Zero(w, r.Hops())
	if a.Reason() == ReasonLeaving && r.Established() {
		return
	}
	w.charged++
	allowed := float64(w.started)/10/3 + w.now.Sub(w.begin).Seconds()/10
	require.LessOrEqual(w, float64(w.charged), allowed)
}

func (w *world) arrive() {
	w.next++
	var opts []Option
	for _, o := range []Option{Idempotent(), Established(), Stream(), Relayed(1)} {
		if rapid.Bool().Draw(w.T, "option") {
			opts = append(opts, o)
		}
	}
	left := time.Duration(rapid.IntRange(-1, 400).Draw(w.T, "deadline-ms")) * time.Millisecond
	r := NewRequest(w.next, rapid.IntRange(1, 3).Draw(w.T, "priority"), w.now.Add(left), opts...)
	w.waiting[r.ID()] = r
	w.arrived[r.ID()] = w.now
	w.check(w.core.Arrive(w.now, r))
	if m := w.core.Mode(); m != ModeServing {
		require.NotContains(w, w.waiting, r.ID(), "not answered at once while %v", m)
	}
}

func (w *world) finish() {
	id, r, ok := w.pick(w.running)
	if !ok {
		return
	}
	delete(w.running, id)
	kind := OutcomeKind(rapid.IntRange(int(OutcomeOK), int(OutcomeCancelled)).Draw(w.T, "outcome"))
	o := NewOutcome(kind, 0, rapid.Bool().Draw(w.T, "may-have-started"))
	w.check(w.core.Finish(w.now, id, o))
	a := w.core.Retry(w.now, r, o)
	require.Equal(w, !o.MayHaveStarted(), a.NotRun())
	if a.Kind() == KindRelay {
		require.True(w, r.Idempotent() || !o.MayHaveStarted())
		w.charge(a, r)
	}
}

func (w *world) header() {
	if id, r, ok := w.pick(w.running); ok {
		if r.Stream() {
			delete(w.running, id)
			w.streams[id] = r
		}
		w.check(w.core.ObserveHeader(w.now, id))
		require.Equal(w, len(w.streams), w.core.OpenStreams())
	}
}

func (w *world) cancel() {
	if id, _, ok := w.pick(w.waiting); ok {
		delete(w.waiting, id)
		w.check(w.core.Cancel(w.now, id))
	}
}

// advance lets time pass, with the ticks that the core asks for.
func (w *world) advance() {
	end := w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(w.T, "ms")) * time.Millisecond)
	for t := w.core.NextTick(); !t.IsZero() && !t.After(end); t = w.core.NextTick() {
		w.now = t
		w.check(w.core.Tick(w.now))
	}
	w.now = end
	w.core.ObserveProbe(w.now, rapid.Bool().Draw(w.T, "healthy"))
}

func (w *world) mode() {
	m := Mode(rapid.IntRange(int(ModeServing), int(ModeOut)).Draw(w.T, "mode"))
	w.check(w.core.SetMode(w.now, m))
}

func (w *world) peers() {
	for _, id := range []gdconf.UpstreamID{2, 3, 4} {
		w.core.ObservePeerLoad(w.now, id, gdselector.NewLoad(0, 0, rapid.IntRange(0, 2).Draw(w.T, "limit"), 0))
	}
}

// pick draws a request by its place in the order of identifiers.
func (w *world) pick(from map[uint64]Request) (uint64, Request, bool) {
	var ids []uint64
	for id := uint64(1); id <= w.next; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, Request{}, false
	}
	id := rapid.SampledFrom(ids).Draw(w.T, "id")
	return id, from[id], true
}

func TestPromisesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		ops := []func(){w.arrive, w.arrive, w.arrive, w.finish, w.finish, w.header, w.cancel, w.advance, w.peers}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			i := rapid.IntRange(0, len(ops)).Draw(t, "op")
			if i == len(ops) {
				w.mode()
				continue
			}
			ops[i]()
		}
		w.check(w.core.SetMode(w.now, ModeOut))
		require.Empty(t, w.waiting, "requests without an action")
	})
}
