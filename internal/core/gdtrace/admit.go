package gdtrace

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

// admissionCore is the admission core of an agent.
type admissionCore struct{ gdadmit.DefaultController }

// newRand returns the random source of a process.
func newRand(p Process) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, uint64(p.Upstream))) }

func newAdmissionCore(p Process) *admissionCore {
	r := newRand(p)
	s := &gdselector.Selector{Rand: r}
	s.SetPeers(p.Peers)
	return &admissionCore{gdadmit.DefaultController{Slots: p.Slots, Limiter: &gdadmit.AIMD{}, Rand: r, Selector: s}}
}

var modes = map[string]gdadmit.Mode{
	gdadmit.ModeServing.String():  gdadmit.ModeServing,
	gdadmit.ModeLeaving.String():  gdadmit.ModeLeaving,
	gdadmit.ModeStopping.String(): gdadmit.ModeStopping,
	gdadmit.ModeOut.String():      gdadmit.ModeOut,
}

var admissionResults = map[string]gdadmit.OutcomeKind{
	"ok":        gdadmit.OutcomeOK,
	"failed":    gdadmit.OutcomeFailed,
	"shed":      gdadmit.OutcomeShed,
	"timeout":   gdadmit.OutcomeTimeout,
	"cancelled": gdadmit.OutcomeCancelled,
}

func (c *admissionCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindMode:
		m, ok := modes[e.Mode]
		if !ok {
			return nil, errors.Errorf("unknown mode %q", e.Mode)
		}
		return AdmissionOutcomes(c.SetMode(now, m)...), nil
	case KindPeerLoad:
		l, err := required(e.PeerLoad, "load")
		if err == nil {
			c.ObservePeerLoad(now, e.Peer, gdselector.NewLoad(l.InFlight, l.Queued, l.Limit, l.Started))
		}
		return nil, err
	case KindSlots:
		if e.Slots < 1 {
			return nil, errors.New("slots are missing")
		}
		return AdmissionOutcomes(c.SetSlots(now, e.Slots)...), nil
	case KindProbe:
		c.ObserveProbe(now, e.On)
		return nil, nil
	case KindTick:
		return AdmissionOutcomes(c.Tick(now)...), nil
	case KindFinish:
		id, o, err := admissionOutcome(e)
		return c.outcomes(err, func() []gdadmit.Action { return c.Finish(now, id, o) })
	}
	return c.applyRequest(p, now, e)
}

// applyRequest applies an event that contains a request.
func (c *admissionCore) applyRequest(p *Player, now time.Time, e Event) ([]Outcome, error) {
	r, err := required(e.Request, "request")
	switch e.Kind {
	case KindRequest:
		return c.outcomes(err, func() []gdadmit.Action { return c.Arrive(now, r.admissionRequest(p.start)) })
	case KindHeader:
		return c.outcomes(err, func() []gdadmit.Action { return c.ObserveHeader(now, r.ID) })
	case KindCancel:
		return c.outcomes(err, func() []gdadmit.Action { return c.Cancel(now, r.ID) })
	case KindRetry:
		_, o, unknown := admissionOutcome(e)
		if err == nil {
			err = unknown
		}
		return c.outcomes(err, func() []gdadmit.Action { return []gdadmit.Action{c.Retry(now, r.admissionRequest(p.start), o)} })
	}
	return nil, errUnsupportedEvent(e)
}

// outcomes calls step and returns its outcomes, unless err is set.
func (*admissionCore) outcomes(err error, step func() []gdadmit.Action) ([]Outcome, error) {
	if err != nil {
		return nil, err
	}
	return AdmissionOutcomes(step()...), nil
}

// admissionRequest returns the request in the form that the admission core
// receives.
func (r Request) admissionRequest(start time.Time) gdadmit.Request {
	opts := []gdadmit.Option{gdadmit.Relayed(r.Hops)}
	for _, o := range []struct {
		set    bool
		option gdadmit.Option
	}{{r.Repeatable, gdadmit.Idempotent()}, {r.Established, gdadmit.Established()}, {r.Stream, gdadmit.Stream()}} {
		if o.set {
			opts = append(opts, o.option)
		}
	}
	var deadline time.Time
	if r.Deadline != 0 {
		deadline = start.Add(r.Deadline)
	}
	return gdadmit.NewRequest(r.ID, r.Priority, deadline, opts...)
}

func admissionOutcome(e Event) (uint64, gdadmit.Outcome, error) {
	f, err := required(e.Finish, "finish")
	if err != nil {
		return 0, gdadmit.Outcome{}, err
	}
	kind, ok := admissionResults[f.Result]
	if !ok {
		return 0, gdadmit.Outcome{}, errors.Errorf("unknown result %q", f.Result)
	}
	return f.ID, gdadmit.NewOutcome(kind, f.Latency, f.Started), nil
}
