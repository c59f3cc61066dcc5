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
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

const (
	// keyedLimit bounds the run of a request with a key. It goes on when its
	// caller is gone, so that the outcome is known to a later attempt.
	keyedLimit = time.Minute
	// DefaultMaxKeyedBody is the largest body of a request with a key, in bytes.
	DefaultMaxKeyedBody = 64 << 10
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
	actions chan gddedup.Action
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
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, s.MaxKeyedBody))
	if err != nil {
		// Another agent may take larger bodies, and the key is not closed here.
		refusal{status: http.StatusRequestEntityTooLarge, outcome: OutcomeUnknown, reason: reasonBody}.write(w)
		return
	}
	at := &attempt{request: q, body: body, actions: make(chan gddedup.Action, attemptActions)}
	s.attempts.add(q.id, at)
	defer s.attempts.remove(q.id)
	ok := s.ledger.TryPost(func(now time.Time) []gddedup.Action {
		return s.once.Arrive(now, gddedup.Request{
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
	got := make(chan gddedup.Key, 1)
	ok := s.ledger.TryPost(func(now time.Time) []gddedup.Action {
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
func (s *Server) obey(ctx context.Context, w http.ResponseWriter, at *attempt, act gddedup.Action) bool {
	switch act := act.(type) {
	case gddedup.Run:
		s.inProgress.Add(1)
		go func() {
			defer s.inProgress.Add(-1)
			s.runKeyed(ctx, at)
		}()
		return false
	case gddedup.Relay:
		return s.relayKeyed(ctx, w, at, act)
	case gddedup.RespondDone:
		s.note(at.request, "done", "", 0)
		writeStored(w, act.Response, at.whole)
	case gddedup.RespondNotRun:
		s.note(at.request, "refuse", string(act.Reason), 0)
		f := notRun(string(act.Reason), act.RetryAfter)
		f.offer = act.NextKey.String()
		f.write(w)
	case gddedup.RespondUnknown:
		s.note(at.request, "unknown", string(act.Reason), 0)
		s.Log.Event(gdlog.RequestOutcomeUnknown, "request", at.name, "reason", string(act.Reason), "key-hash", keyHash(at))
		unknown(string(act.Reason)).write(w)
	case gddedup.RespondConflict:
		s.note(at.request, "refuse", reasonConflict, 0)
		refusal{status: http.StatusUnprocessableEntity, outcome: OutcomeNotRun, reason: reasonConflict}.write(w)
	default:
		return false
	}
	return true
}

// relayKeyed passes the request to its home and reports whether the caller is
// answered by it.
func (s *Server) relayKeyed(ctx context.Context, w http.ResponseWriter, at *attempt, act gddedup.Relay) bool {
	s.note(at.request, "relay", "home", act.Home)
	rep := s.sendPeer(ctx, at.request, act.Home, io.NopCloser(bytes.NewReader(at.body)))
	ok := rep.err == nil
	s.ledger.Post(func(now time.Time) []gddedup.Action { return s.once.Relayed(now, at.id, ok) })
	if ok {
		answer(w, rep.response)
	}
	return ok
}

// ended tells the ledger how a run ended.
func (s *Server) ended(id uint64, o gddedup.Outcome) {
	s.ledger.Post(func(now time.Time) []gddedup.Action { return s.once.Finished(now, id, o) })
}
