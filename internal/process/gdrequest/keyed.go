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
	// keyedRunTimeout bounds the run of a request with a key. The run continues
	// after its caller has disconnected, so that a later attempt gets its outcome.
	keyedRunTimeout = time.Minute
	// DefaultMaxKeyedBody is the maximum body size of a request with a key, in bytes.
	DefaultMaxKeyedBody = 64 << 10
	// maxKeyedResponseBytes is the maximum body size of the response to such a request.
	maxKeyedResponseBytes = 4 << 20
	// actionBuffer is more than the number of actions for one attempt.
	actionBuffer = 4
)

// attempt is a request with a key on which the deduplication core decides.
type attempt struct {
	*request
	body []byte
	// actions delivers the core's actions.
	actions chan gddedup.Action
	// fullBody is the response body if it is too large to store. It is set before
	// the action that ends the run is delivered.
	fullBody []byte
}

// serveKeyed serves a request that runs at most once.
func (s *Server) serveKeyed(ctx context.Context, w http.ResponseWriter, q *request) {
	if q.leaving && q.hops == 0 && !s.keyValid(q.Header.Get(headerKey)) {
		s.refuseThroughPeer(ctx, w, q)
		return
	}
	if q.Header.Get(headerKey) == "" {
		s.refuseWithKey(ctx, w, q)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, s.MaxKeyedBody))
	if err != nil {
		// Another agent may accept larger bodies, and the key is not closed here.
		refusal{status: http.StatusRequestEntityTooLarge, outcome: OutcomeUnknown, reason: reasonBody}.write(w)
		return
	}
	at := &attempt{request: q, body: body, actions: make(chan gddedup.Action, actionBuffer)}
	s.attempts.add(q.id, at)
	defer s.attempts.remove(q.id)
	ok := s.dedupLoop.TryPost(func(now time.Time) []gddedup.Action {
		return s.dedup.Arrive(now, gddedup.Request{
			ID: q.id, Service: q.service.ID(), Key: q.Header.Get(headerKey), Digest: at.digest(), Relayed: q.hops > 0,
		})
	})
	if !ok {
		keyUndecided(reasonBusy).write(w)
		return
	}
	s.executeActions(ctx, w, at)
}

// keyValid reports whether an agent could run a request with the key.
func (s *Server) keyValid(key string) bool {
	_, err := s.Signer.Parse(key)
	return err == nil
}

// refuseThroughPeer relays a request without a valid key to a peer, which refuses it
// and issues a key. A key that this leaving agent issues could not be used.
func (s *Server) refuseThroughPeer(ctx context.Context, w http.ResponseWriter, q *request) {
	a, ok := s.admit(ctx, q.admission())
	switch {
	case !ok:
		keyUndecided(reasonBusy).write(w)
	case a.Kind() == gdadmit.KindRelay:
		s.relay(ctx, w, q, a)
	case a.Kind() == gdadmit.KindStart:
		// The upstream is no longer leaving. Without a key the request must not run.
		s.finish(q.id, gdadmit.NewOutcome(gdadmit.OutcomeCancelled, 0, false))
		s.refuseWithKey(ctx, w, q)
	default:
		s.refuse(w, a)
	}
}

// refuseWithKey refuses a request without the required key and issues one.
func (s *Server) refuseWithKey(ctx context.Context, w http.ResponseWriter, q *request) {
	got := make(chan gddedup.Key, 1)
	ok := s.dedupLoop.TryPost(func(now time.Time) []gddedup.Action {
		got <- s.dedup.Issue(now, q.service.ID())
		return nil
	})
	f := refusal{status: http.StatusPreconditionRequired, outcome: OutcomeNotRun, reason: reasonKeyNeeded}
	if ok {
		select {
		case k := <-got:
			f.suggestedKey = k.String()
		case <-ctx.Done():
		}
	}
	f.write(w)
}

// digest distinguishes the request from others with the same key.
func (a *attempt) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a.Method + " " + a.URL.RequestURI() + "\n") // never fails
	_, _ = d.Write(a.body)
	return d.Sum64()
}

// keyHash identifies the key in logs. The key itself must not be logged, because it
// gives access to the stored response.
func keyHash(at *attempt) string {
	return strconv.FormatUint(xxhash.Sum64String(at.Header.Get(headerKey)), 16)
}

// executeActions executes the actions of the deduplication core until the caller has a
// response.
func (s *Server) executeActions(ctx context.Context, w http.ResponseWriter, at *attempt) {
	for {
		select {
		case act := <-at.actions:
			if s.handleAction(ctx, w, at, act) {
				return
			}
		case <-ctx.Done():
			// The run continues; a later attempt gets its outcome.
			unknown(reasonGone).write(w)
			return
		}
	}
}

// handleAction executes an action and reports whether the caller has a response.
func (s *Server) handleAction(ctx context.Context, w http.ResponseWriter, at *attempt, act gddedup.Action) bool {
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
		s.recordDecision(at.request, "done", "", 0)
		writeStored(w, act.Response, at.fullBody)
	case gddedup.RespondNotRun:
		s.recordDecision(at.request, "refuse", string(act.Reason), 0)
		f := notRun(string(act.Reason), act.RetryAfter)
		f.suggestedKey = act.NextKey.String()
		f.write(w)
	case gddedup.RespondUnknown:
		s.recordDecision(at.request, "unknown", string(act.Reason), 0)
		s.Log.Event(gdlog.RequestOutcomeUnknown, "request", at.name, "reason", string(act.Reason), "key-hash", keyHash(at))
		unknown(string(act.Reason)).write(w)
	case gddedup.RespondConflict:
		s.recordDecision(at.request, "refuse", reasonConflict, 0)
		refusal{status: http.StatusUnprocessableEntity, outcome: OutcomeNotRun, reason: reasonConflict}.write(w)
	default:
		return false
	}
	return true
}

// relayKeyed relays the request to the home of its key and reports whether the caller
// got a response from it.
func (s *Server) relayKeyed(ctx context.Context, w http.ResponseWriter, at *attempt, act gddedup.Relay) bool {
	s.recordDecision(at.request, "relay", "home", act.Home)
	rep := s.sendPeer(ctx, at.request, act.Home, io.NopCloser(bytes.NewReader(at.body)))
	ok := rep.err == nil
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action { return s.dedup.Relayed(now, at.id, ok) })
	if ok {
		forwardResponse(w, rep.response)
	}
	return ok
}

// postRunOutcome reports the outcome of a run to the deduplication core.
func (s *Server) postRunOutcome(id uint64, o gddedup.Outcome) {
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action { return s.dedup.Finished(now, id, o) })
}
