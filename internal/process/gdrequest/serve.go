package gdrequest

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// Reasons of refusals that the server decides itself.
const (
	reasonNotReady  = "not-ready"
	reasonBusy      = "agent-busy"
	reasonGone      = "caller-gone"
	reasonRelay     = "relay-failed"
	reasonUpstream  = "upstream-failed"
	reasonKeyNeeded = "key-needed"
	reasonBody      = "body-too-large"
	reasonConflict  = "key-of-another-request"
	reasonOmitted   = "answer-not-kept"

	notReadyRetry = time.Second
)

var errNoPeer = errors.New("relay request: address of the peer is unknown")

// ServeHTTP serves a request from a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Header.Del(HeaderHops)
	r.Header.Del(HeaderService)
	s.serve(w, r)
}

// ServePeer serves a request that a peer relayed.
func (s *Server) ServePeer(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	now := time.Now()
	applied := s.applied.Load()
	if applied == nil || !s.acceptsRequests(now) {
		notReady(r).write(w)
		return
	}
	u, ok := applied.view.Upstream(s.Self)
	if !ok || !sameService(r, u.Service().ID()) {
		notReady(r).write(w)
		return
	}
	q := s.newRequest(r, u.Service(), now)
	q.leaving = applied.leaving
	w.Header().Set(HeaderRequest, q.name)
	ctx, cancel := q.withDeadline(r.Context())
	defer cancel()
	if q.keyed() {
		s.serveKeyed(ctx, w, q)
		return
	}
	s.servePlain(ctx, w, q)
}

// acceptsRequests reports whether the server may decide on requests.
func (s *Server) acceptsRequests(now time.Time) bool {
	return !s.refusing.Load() && s.Config.MayDecide(now)
}

// notReady returns the refusal of a request that has not reached a core.
func notReady(r *http.Request) refusal {
	if r.Header.Get(headerKey) != "" {
		return keyUndecided(reasonNotReady)
	}
	return notRun(reasonNotReady, notReadyRetry)
}

// sameService reports whether a relayed request is for the service. Requests from
// callers have no service header.
func sameService[ID ~uint16](r *http.Request, id ID) bool {
	name := r.Header.Get(HeaderService)
	return name == "" || name == strconv.Itoa(int(id))
}

// servePlain serves a request without an idempotency key.
func (s *Server) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	a, ok := s.admit(ctx, q.admission())
	if !ok {
		s.recordDecision(q, "refuse", reasonBusy, 0)
		notRun(reasonBusy, notReadyRetry).write(w)
		return
	}
	s.recordDecision(q, a.Kind().String(), a.Reason().String(), a.Peer())
	s.applyDecision(ctx, w, q, a)
}

// applyDecision executes the decision on a request.
func (s *Server) applyDecision(ctx context.Context, w http.ResponseWriter, q *request, a gdadmit.Action) {
	switch a.Kind() {
	case gdadmit.KindStart:
		s.run(ctx, w, q)
	case gdadmit.KindRelay:
		s.relay(ctx, w, q, a)
	default:
		s.refuse(w, a)
	}
}

func (s *Server) refuse(w http.ResponseWriter, a gdadmit.Action) {
	if a.NotRun() {
		notRun(a.Reason().String(), a.RetryAfter()).write(w)
		return
	}
	unknown(a.Reason().String()).write(w)
}

// run sends an admitted request to the upstream and forwards the response.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, q *request) {
	rep := s.proxy.send(ctx, q, q.Body)
	if rep.err != nil || isShed(rep.response) {
		s.finish(q.id, rep.outcome)
		s.retry(ctx, w, q, rep)
		return
	}
	s.observeHeader(q.id)
	defer s.finish(q.id, rep.outcome)
	if q.stream {
		s.streams.Add(1)
		defer s.streams.Add(-1)
	}
	forwardResponse(w, rep.response)
}

// retry gets a new decision on a request that the upstream did not serve. A request
// with a body is refused, because its body can't be read again.
func (s *Server) retry(ctx context.Context, w http.ResponseWriter, q *request, rep reply) {
	if rep.response != nil {
		rep.response.Body.Close()
	}
	if q.ContentLength != 0 {
		s.refuseUnserved(w, rep)
		return
	}
	got := make(chan gdadmit.Action, 1)
	ok := s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action {
		got <- s.admission.Retry(now, q.admission(), rep.outcome)
		return nil
	})
	if !ok {
		s.refuseUnserved(w, rep)
		return
	}
	a := <-got
	s.recordDecision(q, a.Kind().String(), a.Reason().String(), a.Peer())
	s.applyDecision(ctx, w, q, a)
}

// refuseUnserved refuses a request that the upstream did not serve.
func (s *Server) refuseUnserved(w http.ResponseWriter, rep reply) {
	if rep.outcome.MayHaveStarted() {
		unknown(reasonUpstream).write(w)
		return
	}
	notRun(reasonUpstream, notReadyRetry).write(w)
}

// relay forwards the request to a peer.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, q *request, a gdadmit.Action) {
	rep := s.sendPeer(ctx, q, a.Peer(), q.Body)
	s.admitLoop.TryPost(func(time.Time) []gdadmit.Action {
		s.admission.ReleasePeerSlot(a.Peer())
		return nil
	})
	switch {
	case rep.err == nil:
		forwardResponse(w, rep.response)
	case rep.outcome.MayHaveStarted():
		unknown(reasonRelay).write(w)
	default:
		notRun(reasonRelay, notReadyRetry).write(w)
	}
}

// sendPeer sends the request to the agent of a peer.
func (s *Server) sendPeer(ctx context.Context, q *request, peer gdconf.UpstreamID, body io.ReadCloser) reply {
	addr, ok := s.addressOf(peer)
	if !ok || s.Peers == nil {
		return reply{outcome: gdadmit.NewOutcome(gdadmit.OutcomeFailed, 0, false), err: errNoPeer}
	}
	out := q.Clone(ctx)
	out.Body = body
	prepareHeader(ctx, out.Header)
	out.Header.Set(HeaderHops, strconv.Itoa(q.hops+1))
	out.Header.Set(HeaderService, strconv.Itoa(int(q.service.ID())))
	start := time.Now()
	res, reached, err := s.Peers.Relay(ctx, addr, out)
	if err != nil {
		return reply{outcome: errorOutcome(ctx, time.Since(start), reached), err: err}
	}
	return reply{response: res}
}

func (s *Server) observeHeader(id uint64) {
	s.admitLoop.Post(func(now time.Time) []gdadmit.Action { return s.admission.ObserveHeader(now, id) })
}

func (s *Server) finish(id uint64, o gdadmit.Outcome) {
	s.admitLoop.Post(func(now time.Time) []gdadmit.Action { return s.admission.Finish(now, id, o) })
}

func (s *Server) recordDecision(q *request, action, reason string, peer gdconf.UpstreamID) {
	if s.OnDecision == nil {
		return
	}
	s.OnDecision(Decision{
		Request: q.name, Flow: q.RemoteAddr, Service: q.service.Name(), Action: action, Reason: reason, Peer: peer,
	})
}
