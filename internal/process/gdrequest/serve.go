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

// The reasons of refusals that no core has decided.
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

var errNoPeer = errors.New("relay: the peer has no known address")

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Header.Del(HeaderHops)
	r.Header.Del(HeaderService)
	s.serve(w, r)
}

// ServePeer serves one request that a peer relayed.
func (s *Server) ServePeer(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.init()
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	now := time.Now()
	v := s.Config.View()
	if v == nil || !s.takesRequests(now) {
		notReady(r).write(w)
		return
	}
	u, ok := v.Upstream(s.Self)
	if !ok || !sameService(r, u.Service().ID()) {
		notReady(r).write(w)
		return
	}
	q := s.read(r, u.Service(), now)
	w.Header().Set(HeaderRequest, q.name)
	ctx, cancel := q.bounded(r.Context())
	defer cancel()
	if q.keyed() {
		s.serveKeyed(ctx, w, q)
		return
	}
	s.servePlain(ctx, w, q)
}

// takesRequests reports whether the server may decide on a request now.
func (s *Server) takesRequests(now time.Time) bool {
	return s.ready.Load() && !s.refusing.Load() && s.Config.MayDecide(now)
}

// notReady refuses a request before any core has seen it.
func notReady(r *http.Request) refusal {
	if r.Header.Get(headerKey) != "" {
		return undecided(reasonNotReady)
	}
	return notRun(reasonNotReady, notReadyRetry)
}

// sameService reports whether a relayed request is for the service. A caller's
// own request names none.
func sameService[ID ~uint16](r *http.Request, id ID) bool {
	name := r.Header.Get(HeaderService)
	return name == "" || name == strconv.Itoa(int(id))
}

// servePlain serves a request that the ledger does not know.
func (s *Server) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	a, ok := s.admit(ctx, q.admission())
	if !ok {
		s.note(q, "refuse", reasonBusy, 0)
		notRun(reasonBusy, notReadyRetry).write(w)
		return
	}
	s.note(q, a.Kind().String(), a.Reason().String(), a.Peer())
	s.follow(ctx, w, q, a)
}

// follow does what the core decided.
func (s *Server) follow(ctx context.Context, w http.ResponseWriter, q *request, a gdadmit.Action) {
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

// run sends a started request to the upstream and passes the answer on.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, q *request) {
	rep := s.proxy.send(ctx, q, q.Body)
	if rep.err != nil || isShed(rep.response) {
		s.finish(q.id, rep.outcome)
		s.retry(ctx, w, q, rep)
		return
	}
	s.header(q.id)
	defer s.finish(q.id, rep.outcome)
	if q.stream {
		s.streams.Add(1)
		defer s.streams.Add(-1)
	}
	answer(w, rep.response)
}

// retry asks the core what to do with a request that the upstream did not serve.
// A body that has been read can't be sent again.
func (s *Server) retry(ctx context.Context, w http.ResponseWriter, q *request, rep reply) {
	if rep.response != nil {
		rep.response.Body.Close()
	}
	if q.ContentLength != 0 {
		s.refuseAfter(w, rep)
		return
	}
	got := make(chan gdadmit.Action, 1)
	ok := s.duty.TryPost(func(now time.Time) []gdadmit.Action {
		got <- s.core.Retry(now, q.admission(), rep.outcome)
		return nil
	})
	if !ok {
		s.refuseAfter(w, rep)
		return
	}
	a := <-got
	s.note(q, a.Kind().String(), a.Reason().String(), a.Peer())
	s.follow(ctx, w, q, a)
}

// refuseAfter refuses a request after the upstream did not serve it.
func (s *Server) refuseAfter(w http.ResponseWriter, rep reply) {
	if rep.outcome.MayHaveStarted() {
		unknown(reasonUpstream).write(w)
		return
	}
	notRun(reasonUpstream, notReadyRetry).write(w)
}

// relay passes the request on to a peer.
func (s *Server) relay(ctx context.Context, w http.ResponseWriter, q *request, a gdadmit.Action) {
	rep := s.sendPeer(ctx, q, a.Peer(), q.Body)
	s.duty.TryPost(func(time.Time) []gdadmit.Action {
		s.core.ReleasePeerSlot(a.Peer())
		return nil
	})
	switch {
	case rep.err == nil:
		answer(w, rep.response)
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
	prepare(ctx, out.Header)
	out.Header.Set(HeaderHops, strconv.Itoa(q.hops+1))
	out.Header.Set(HeaderService, strconv.Itoa(int(q.service.ID())))
	began := time.Now()
	res, reached, err := s.Peers.Relay(ctx, addr, out)
	if err != nil {
		return reply{outcome: failure(ctx, time.Since(began), reached), err: err}
	}
	return reply{response: res}
}

func (s *Server) header(id uint64) {
	s.duty.Post(func(now time.Time) []gdadmit.Action { return s.core.ObserveHeader(now, id) })
}

func (s *Server) finish(id uint64, o gdadmit.Outcome) {
	s.duty.Post(func(now time.Time) []gdadmit.Action { return s.core.Finish(now, id, o) })
}

func (s *Server) note(q *request, action, reason string, peer gdconf.UpstreamID) {
	if s.OnDecision == nil {
		return
	}
	s.OnDecision(Decision{
		Request: q.name, Flow: q.RemoteAddr, Service: q.service.Name(), Action: action, Reason: reason, Peer: peer,
	})
}
