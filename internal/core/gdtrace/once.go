package gdtrace

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// dedupCore is the deduplication core of an agent.
type dedupCore struct{ gddedup.Core }

func newDedupCore(p Process) *dedupCore {
	return &dedupCore{gddedup.Core{
		Self: p.Upstream, Incarnation: p.Incarnation, Rand: newRand(p), Signer: NewSigner(p),
	}}
}

// NewSigner returns the signer of a recorded process. Its secret is derived
// from the seed, so that processes with the same seed accept each other's keys
// and a trace contains no key of a real fleet.
func NewSigner(p Process) *gddedup.Signer {
	return gddedup.NewSigner(binary.BigEndian.AppendUint64([]byte("trace-"), p.Seed))
}

var dedupResults = map[string]gddedup.Result{
	"done":    gddedup.ResultDone,
	"not-run": gddedup.ResultNotRun,
	"unknown": gddedup.ResultUnknown,
}

func (c *dedupCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindView:
		v, err := p.view(e)
		return c.outcomes(err, func() []gddedup.Action { return c.SetView(now, v) })
	case KindTick:
		return DedupOutcomes(c.Tick(now)), nil
	case KindIssue:
		r, err := required(e.Request, "request")
		if err != nil {
			return nil, err
		}
		return []Outcome{{Action: "issue", Key: c.Issue(now, r.Service).String()}}, nil
	case KindQuery:
		q, err := required(e.Query, "question")
		if err != nil {
			return nil, err
		}
		return ReplyOutcomes(c.QueryReceived(now, q)), nil
	case KindRelease:
		q, err := required(e.Query, "question")
		if err == nil {
			c.ReleaseReceived(now, q)
		}
		return nil, err
	case KindNotice:
		n, err := required(e.Notice, "notice")
		return c.outcomes(err, func() []gddedup.Action { return c.NoticeReceived(now, n) })
	}
	return c.applyRequest(now, e)
}

// applyRequest applies an event of one request.
func (c *dedupCore) applyRequest(now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindRequest:
		r, err := required(e.Request, "request")
		return c.outcomes(err, func() []gddedup.Action { return c.Arrive(now, r.dedupRequest()) })
	case KindFinish:
		f, err := required(e.Finish, "finish")
		if _, ok := dedupResults[f.Result]; err == nil && !ok {
			err = errors.Errorf("unknown result %q", f.Result)
		}
		return c.outcomes(err, func() []gddedup.Action { return c.Finished(now, f.ID, f.dedupOutcome()) })
	case KindRelayed:
		f, err := required(e.Finish, "finish")
		return c.outcomes(err, func() []gddedup.Action { return c.Relayed(now, f.ID, f.Result == "ok") })
	case KindReply:
		r, err := required(e.Request, "request")
		a, missing := required(e.Reply, "answer")
		if missing != nil {
			err = missing
		}
		return c.outcomes(err, func() []gddedup.Action { return c.ReplyReceived(now, r.ID, e.Peer, a) })
	}
	return nil, errUnsupportedEvent(e)
}

// outcomes calls step and returns its outcomes, unless err is set.
func (*dedupCore) outcomes(err error, step func() []gddedup.Action) ([]Outcome, error) {
	if err != nil {
		return nil, err
	}
	return DedupOutcomes(step()), nil
}

// dedupRequest returns the request in the form that the deduplication core
// receives.
func (r Request) dedupRequest() gddedup.Request {
	return gddedup.Request{ID: r.ID, Service: r.Service, Key: r.Key, Digest: r.Digest, Relayed: r.Hops > 0}
}

func (f Finish) dedupOutcome() gddedup.Outcome {
	o := gddedup.Outcome{Result: dedupResults[f.Result], RetryAfter: f.RetryAfter}
	if f.Response != nil {
		o.Response = *f.Response
	}
	return o
}
