package gdtrace

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

// admitCore is an agent's admission core.
type admitCore struct{ gdadmit.DefaultController }

// newRand returns the random source of a process.
func newRand(p Process) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, uint64(p.Upstream))) }

func newAdmitCore(p Process) *admitCore {
	r := newRand(p)
	s := &gdselector.Selector{Rand: r}
	s.SetPeers(p.Peers)
	return &admitCore{gdadmit.DefaultController{Slots: p.Slots, Limiter: &gdadmit.AIMD{}, Rand: r, Selector: s}}
}

var modes = map[string]gdadmit.Mode{
	gdadmit.ModeServing.String():  gdadmit.ModeServing,
	gdadmit.ModeLeaving.String():  gdadmit.ModeLeaving,
	gdadmit.ModeStopping.String(): gdadmit.ModeStopping,
	gdadmit.ModeOut.String():      gdadmit.ModeOut,
}

var admitResults = map[string]gdadmit.OutcomeKind{
	"ok":        gdadmit.OutcomeOK,
	"failed":    gdadmit.OutcomeFailed,
	"shed":      gdadmit.OutcomeShed,
	"timeout":   gdadmit.OutcomeTimeout,
	"cancelled": gdadmit.OutcomeCancelled,
}

func (c *admitCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindMode:
		m, ok := modes[e.Mode]
		if !ok {
			return nil, errors.Errorf("mode %q is unknown", e.Mode)
		}
		return AdmissionOutcomes(c.SetMode(now, m)...), nil
	case KindPeerLoad:
		l, err := need(e.PeerLoad, "load")
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
		id, o, err := finished(e)
		return c.outcomes(err, func() []gdadmit.Action { return c.Finish(now, id, o) })
	}
	return c.applyRequest(p, now, e)
}

// applyRequest takes the events that carry a request.
func (c *admitCore) applyRequest(p *Player, now time.Time, e Event) ([]Outcome, error) {
	r, err := need(e.Request, "request")
	switch e.Kind {
	case KindRequest:
		return c.outcomes(err, func() []gdadmit.Action { return c.Arrive(now, r.admit(p.start)) })
	case KindHeader:
		return c.outcomes(err, func() []gdadmit.Action { return c.ObserveHeader(now, r.ID) })
	case KindCancel:
		return c.outcomes(err, func() []gdadmit.Action { return c.Cancel(now, r.ID) })
	case KindRetry:
		_, o, unknown := finished(e)
		if err == nil {
			err = unknown
		}
		return c.outcomes(err, func() []gdadmit.Action { return []gdadmit.Action{c.Retry(now, r.admit(p.start), o)} })
	}
	return nil, unfit(e)
}

// outcomes takes the step unless the event was incomplete.
func (*admitCore) outcomes(err error, step func() []gdadmit.Action) ([]Outcome, error) {
	if err != nil {
		return nil, err
	}
	return AdmissionOutcomes(step()...), nil
}

// admit returns the request as the admission core sees it.
func (r Request) admit(start time.Time) gdadmit.Request {
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

func finished(e Event) (uint64, gdadmit.Outcome, error) {
	f, err := need(e.Finish, "finish")
	if err != nil {
		return 0, gdadmit.Outcome{}, err
	}
	kind, ok := admitResults[f.Result]
	if !ok {
		return 0, gdadmit.Outcome{}, errors.Errorf("result %q is unknown", f.Result)
	}
	return f.ID, gdadmit.NewOutcome(kind, f.Latency, f.Started), nil
}
