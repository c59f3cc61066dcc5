package gdtrace

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// onceCore is an agent's at-most-once core.
type onceCore struct{ gddedup.Core }

func newOnceCore(p Process) *onceCore {
	return &onceCore{gddedup.Core{
		Self: p.Upstream, Incarnation: p.Incarnation, Rand: newRand(p), Signer: NewSigner(p),
	}}
}

// NewSigner returns the signer of a recorded process. Its secret is drawn from
// the seed, so that processes with the same seed trust each other's keys and no
// key of a real fleet stands in a trace.
func NewSigner(p Process) *gddedup.Signer {
	return gddedup.NewSigner(binary.BigEndian.AppendUint64([]byte("trace-"), p.Seed))
}

var onceResults = map[string]gddedup.Result{
	"done":    gddedup.ResultDone,
	"not-run": gddedup.ResultNotRun,
	"unknown": gddedup.ResultUnknown,
}

func (c *onceCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindView:
		v, err := p.view(e)
		return c.outcomes(err, func() []gddedup.Action { return c.SetView(now, v) })
	case KindTick:
		return DedupOutcomes(c.Tick(now)), nil
	case KindIssue:
		r, err := need(e.Request, "request")
		if err != nil {
			return nil, err
		}
		return []Outcome{{Action: "issue", Key: c.Issue(now, r.Service).String()}}, nil
	case KindQuery:
		q, err := need(e.Query, "question")
		if err != nil {
			return nil, err
		}
		return ReplyOutcomes(c.QueryReceived(now, q)), nil
	case KindRelease:
		q, err := need(e.Query, "question")
		if err == nil {
			c.ReleaseReceived(now, q)
		}
		return nil, err
	case KindNotice:
		n, err := need(e.Notice, "notice")
		return c.outcomes(err, func() []gddedup.Action { return c.NoticeReceived(now, n) })
	}
	return c.applyRequest(now, e)
}

// applyRequest takes the events of one request.
func (c *onceCore) applyRequest(now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindRequest:
		r, err := need(e.Request, "request")
		return c.outcomes(err, func() []gddedup.Action { return c.Arrive(now, r.keyed()) })
	case KindFinish:
		f, err := need(e.Finish, "finish")
		if _, ok := onceResults[f.Result]; err == nil && !ok {
			err = errors.Errorf("result %q is unknown", f.Result)
		}
		return c.outcomes(err, func() []gddedup.Action { return c.Finished(now, f.ID, f.once()) })
	case KindRelayed:
		f, err := need(e.Finish, "finish")
		return c.outcomes(err, func() []gddedup.Action { return c.Relayed(now, f.ID, f.Result == "ok") })
	case KindReply:
		r, err := need(e.Request, "request")
		a, missing := need(e.Reply, "answer")
		if missing != nil {
			err = missing
		}
		return c.outcomes(err, func() []gddedup.Action { return c.ReplyReceived(now, r.ID, e.Peer, a) })
	}
	return nil, unfit(e)
}

// outcomes takes the step unless the event was incomplete.
func (*onceCore) outcomes(err error, step func() []gddedup.Action) ([]Outcome, error) {
	if err != nil {
		return nil, err
	}
	return DedupOutcomes(step()), nil
}

// keyed returns the request as the at-most-once core sees it.
func (r Request) keyed() gddedup.Request {
	return gddedup.Request{ID: r.ID, Service: r.Service, Key: r.Key, Digest: r.Digest, Relayed: r.Hops > 0}
}

func (f Finish) once() gddedup.Outcome {
	o := gddedup.Outcome{Result: onceResults[f.Result], RetryAfter: f.RetryAfter}
	if f.Response != nil {
		o.Response = *f.Response
	}
	return o
}
