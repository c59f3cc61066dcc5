package gdrequest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdonce"
	"godwitdrift.example/godwitdrift/internal/core/gdspread"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

const (
	// keyedLimit bounds the run of a request with a key. It goes on when its
	// caller is gone, so that the outcome is known to a later attempt.
	keyedLimit = time.Minute
	// maxKeyedBody bounds the body of a request with a key, in bytes.
	maxKeyedBody = 64 << 10
	// maxKeyedAnswer bounds the answer to a request with a key, in bytes.
	maxKeyedAnswer = 4 << 20
	// attemptActions is more than the ledger returns for one attempt.
	attemptActions = 4
)

// attempt is one request with a key while the ledger decides on it.
type attempt struct {
	*request
	body []byte
	// actions brings the ledger's actions.
	actions chan gdonce.Action
	// whole is the answer when it is too large for the ledger. It is written
	// before the action that ends the run is delivered.
	whole []byte
}

// serveKeyed serves a request that runs at most once.
func (s *Server) serveKeyed(ctx context.Context, w http.ResponseWriter, q *request) {
	if s.leaving.Load() && q.hops == 0 && !s.runnable(q.Header.Get(headerKey)) {
		s.offerFromPeer(ctx, w, q)
		return
	}
	if q.Header.Get(headerKey) == "" {
		s.offerKey(ctx, w, q)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxKeyedBody))
	if err != nil {
		refusal{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, reason: reasonBody}.write(w)
		return
	}
	at := &attempt{request: q, body: body, actions: make(chan gdonce.Action, attemptActions)}
	s.attempts.add(q.id, at)
	defer s.attempts.remove(q.id)
	ok := s.ledger.Offer(func(now time.Time) []gdonce.Action {
		return s.once.Arrive(now, gdonce.Request{
			ID: q.id, Service: q.service.ID(), Key: q.Header.Get(headerKey), Digest: at.digest(), Relayed: q.hops > 0,
		})
	})
	if !ok {
		undecided(reasonBusy).write(w)
		return
	}
	s.followLedger(ctx, w, at)
}

// runnable reports whether some agent would run the key.
func (s *Server) runnable(key string) bool {
	_, err := s.Signer.Parse(key)
	return err == nil
}

// offerFromPeer passes a request without a key of use to a peer, which refuses it
// with a key of its own: the key of an agent that leaves would be of no use.
func (s *Server) offerFromPeer(ctx context.Context, w http.ResponseWriter, q *request) {
	a, ok := s.admit(ctx, q.admission())
	switch {
	case !ok:
		undecided(reasonBusy).write(w)
	case a.Kind() == gdadmit.KindRelay:
		s.relay(ctx, w, q, a)
	case a.Kind() == gdadmit.KindStart:
		// The upstream has come back meanwhile. Without a key nothing runs.
		s.finish(q.id, gdadmit.NewOutcome(gdadmit.OutcomeCancelled, 0, false))
		s.offerKey(ctx, w, q)
	default:
		s.refuse(w, a)
	}
}

// offerKey refuses a request that needs a key and has none, with one to use.
func (s *Server) offerKey(ctx context.Context, w http.ResponseWriter, q *request) {
	got := make(chan gdonce.Key, 1)
	ok := s.ledger.Offer(func(now time.Time) []gdonce.Action {
		got <- s.once.Issue(now, q.service.ID())
		return nil
	})
	f := refusal{status: http.StatusPreconditionRequired, outcome: OutcomeNotRun, reason: reasonKeyNeeded}
	if ok {
		select {
		case k := <-got:
			f.offer = k.String()
		case <-ctx.Done():
		}
	}
	f.write(w)
}

// digest tells the request from another one with the same key.
func (a *attempt) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a.Method + " " + a.URL.RequestURI() + "\n") // never fails
	_, _ = d.Write(a.body)
	return d.Sum64()
}

// keyHash names the key in a log, where the key itself must not stand: whoever
// has it can read the kept answer.
func keyHash(at *attempt) string {
	return strconv.FormatUint(xxhash.Sum64String(at.Header.Get(headerKey)), 16)
}

// followLedger does what the ledger decides until the caller has an answer.
func (s *Server) followLedger(ctx context.Context, w http.ResponseWriter, at *attempt) {
	for {
		select {
		case act := <-at.actions:
			if s.obey(ctx, w, at, act) {
				return
			}
		case <-ctx.Done():
			// The run goes on; a later attempt learns its outcome.
			unknown(reasonGone).write(w)
			return
		}
	}
}

// obey carries one action out and reports whether the attempt is answered.
func (s *Server) obey(ctx context.Context, w http.ResponseWriter, at *attempt, act gdonce.Action) bool {
	switch act := act.(type) {
	case gdonce.Run:
		s.inProgress.Add(1)
		go func() {
			defer s.inProgress.Add(-1)
			s.runKeyed(ctx, at)
		}()
		return false
	case gdonce.Relay:
		return s.relayKeyed(ctx, w, at, act)
	case gdonce.AnswerDone:
		s.note(at.request, "done", "", 0)
		writeStored(w, act.Answer, at.whole)
	case gdonce.AnswerNotRun:
		s.note(at.request, "refuse", string(act.Reason), 0)
		f := notRun(string(act.Reason), act.RetryAfter)
		f.offer = act.Offer.String()
		f.write(w)
	case gdonce.AnswerUnknown:
		s.note(at.request, "unknown", string(act.Reason), 0)
		s.Log.Event(gdlog.RequestUnknown, "request", at.name, "reason", string(act.Reason), "key-hash", keyHash(at))
		unknown(string(act.Reason)).write(w)
	case gdonce.AnswerConflict:
		s.note(at.request, "refuse", reasonConflict, 0)
		refusal{status: http.StatusUnprocessableEntity, outcome: OutcomeNotRun, reason: reasonConflict}.write(w)
	default:
		return false
	}
	return true
}

// runKeyed runs the request and tells the ledger how it ended. Only its home may
// run it, so it is admitted here or refused: it counts as relayed as often as it
// may be.
func (s *Server) runKeyed(ctx context.Context, at *attempt) {
	r := gdadmit.NewRequest(at.id, at.priority, at.deadline, gdadmit.Relayed(gdspread.DefaultHops))
	a, ok := s.admit(ctx, r)
	if !ok {
		s.ended(at.id, gdonce.Outcome{Result: gdonce.ResultNotRun, RetryAfter: notReadyRetry})
		return
	}
	s.note(at.request, a.Kind().String(), a.Reason().String(), 0)
	if a.Kind() != gdadmit.KindStart {
		s.ended(at.id, gdonce.Outcome{Result: gdonce.ResultNotRun, RetryAfter: a.RetryAfter()})
		return
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyedLimit)
	defer cancel()
	rep := s.proxy.send(run, at.request, io.NopCloser(bytes.NewReader(at.body)))
	out, outcome := s.keyedOutcome(at, rep)
	s.finish(at.id, out)
	s.ended(at.id, outcome)
}

// keyedOutcome reads the whole answer and says how the run ended.
func (s *Server) keyedOutcome(at *attempt, rep reply) (gdadmit.Outcome, gdonce.Outcome) {
	if rep.err != nil {
		return rep.outcome, failedRun(rep.outcome.MayHaveStarted())
	}
	defer rep.response.Body.Close()
	if isShed(rep.response) {
		return rep.outcome, failedRun(false)
	}
	body, err := io.ReadAll(io.LimitReader(rep.response.Body, maxKeyedAnswer+1))
	if err != nil || len(body) > maxKeyedAnswer {
		return gdadmit.NewOutcome(gdadmit.OutcomeFailed, 0, true), failedRun(true)
	}
	st := gdonce.Stored{Status: rep.response.StatusCode, Headers: storedHeaders(rep.response.Header), Body: body}
	if len(body) > gdonce.MaxBodyBytes {
		at.whole = body
		st.Body, st.Omitted = nil, true
	}
	return rep.outcome, gdonce.Outcome{Result: gdonce.ResultDone, Answer: st}
}

func failedRun(mayHaveStarted bool) gdonce.Outcome {
	if mayHaveStarted {
		return gdonce.Outcome{Result: gdonce.ResultUnknown}
	}
	return gdonce.Outcome{Result: gdonce.ResultNotRun, RetryAfter: notReadyRetry}
}

// storedHeaders returns the headers that later attempts get as well.
func storedHeaders(h http.Header) []gdonce.Header {
	removeHopHeaders(h)
	var out []gdonce.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, gdonce.Header{Name: name, Value: v})
		}
	}
	return out
}

// writeStored answers with a run's answer. Whole is set at the attempt that ran
// and had a large answer.
func writeStored(w http.ResponseWriter, st gdonce.Stored, whole []byte) {
	for _, h := range st.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	body := st.Body
	if st.Omitted {
		body = whole
		if whole == nil {
			w.Header().Del("Content-Length")
			w.Header().Set(HeaderReason, reasonOmitted)
		}
	}
	w.WriteHeader(st.Status)
	_, _ = w.Write(body) // the caller is gone if this fails
}

// relayKeyed passes the request to its home and reports whether the caller is
// answered by it.
func (s *Server) relayKeyed(ctx context.Context, w http.ResponseWriter, at *attempt, act gdonce.Relay) bool {
	s.note(at.request, "relay", "home", act.Home)
	rep := s.sendPeer(ctx, at.request, act.Home, io.NopCloser(bytes.NewReader(at.body)))
	ok := rep.err == nil
	s.ledger.Post(func(now time.Time) []gdonce.Action { return s.once.Relayed(now, at.id, ok) })
	if ok {
		answer(w, rep.response)
	}
	return ok
}

// ended tells the ledger how a run ended.
func (s *Server) ended(id uint64, o gdonce.Outcome) {
	s.ledger.Post(func(now time.Time) []gdonce.Action { return s.once.Finished(now, id, o) })
}

// deliverLedger hands an action of the ledger to its attempt, or to a peer. It
// runs in the ledger's goroutine and does not block.
func (s *Server) deliverLedger(act gdonce.Action) {
	switch act := act.(type) {
	case gdonce.Ask:
		go s.ask(act)
		return
	case gdonce.Release:
		go s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Release(ctx, addr, act.Question)
		})
		return
	case gdonce.Tell:
		go s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Tell(ctx, addr, act.Notice)
		})
		return
	}
	at, ok := s.attempts.get(act.RequestID())
	if !ok {
		s.abandon(act)
		return
	}
	select {
	case at.actions <- act:
	default:
		s.abandon(act)
	}
}

// callPeerLedger calls the ledger of a peer and reports whether that succeeded.
func (s *Server) callPeerLedger(peer gdconf.UpstreamID, call func(ctx context.Context, addr string) error) bool {
	addr, ok := s.addressOf(peer)
	if !ok || s.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), gdonce.ClaimTimeout)
	defer cancel()
	return call(ctx, addr) == nil
}

// abandon handles an action whose attempt is gone: a run that nobody will carry
// out has certainly not begun.
func (s *Server) abandon(act gdonce.Action) {
	if run, ok := act.(gdonce.Run); ok {
		go s.ended(run.RequestID(), gdonce.Outcome{Result: gdonce.ResultNotRun})
	}
}

// ask carries a question to a peer and its answer back.
func (s *Server) ask(act gdonce.Ask) {
	a := gdonce.Answer{Verdict: gdonce.PeerFailed}
	s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
		got, err := s.Peers.Ask(ctx, addr, act.Question)
		if err == nil {
			a = got
		}
		return err
	})
	s.ledger.Post(func(now time.Time) []gdonce.Action {
		return s.once.Answered(now, act.RequestID(), act.Peer, a)
	})
}

// Released takes back a grant that a peer gives back.
func (s *Server) Released(q gdonce.Question) {
	s.init()
	s.ledger.Post(func(now time.Time) []gdonce.Action {
		s.once.Released(now, q)
		return nil
	})
}

// Told takes in what a peer tells about a key.
func (s *Server) Told(n gdonce.Notice) {
	s.init()
	s.ledger.Post(func(now time.Time) []gdonce.Action { return s.once.Told(now, n) })
}

// Asked answers a peer's question about a key.
func (s *Server) Asked(ctx context.Context, q gdonce.Question) (gdonce.Answer, error) {
	s.init()
	got := make(chan gdonce.Answer, 1)
	s.ledger.Post(func(now time.Time) []gdonce.Action {
		got <- s.once.Asked(now, q)
		return nil
	})
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return gdonce.Answer{}, ctx.Err()
	}
}
