package gdrequest

import (
	"context"
	"net/http"
	"strconv"
	"time"

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

	notReadyRetry = time.Second
)

// ServeHTTP serves one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Header.Del(HeaderHops)
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
	if v == nil || !s.Config.MayDecide(now) {
		notRun(reasonNotReady, notReadyRetry).write(w)
		return
	}
	u, ok := v.Upstream(s.Self)
	if !ok || !sameService(r, u.Service().ID()) {
		notRun(reasonNotReady, notReadyRetry).write(w)
		return
	}
	q := s.read(r, u.Service(), now)
	ctx, cancel := q.bounded(r.Context())
	defer cancel()
	s.serveRepeatable(ctx, w, q)
}

// sameService reports whether a relayed request is for the service. A caller's
// own request names none.
func sameService[ID ~uint16](r *http.Request, id ID) bool {
	name := r.Header.Get(HeaderService)
	return name == "" || name == strconv.Itoa(int(id))
}

// serveRepeatable serves a request without a ledger entry.
func (s *Server) serveRepeatable(ctx context.Context, w http.ResponseWriter, q *request) {
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
	ok := s.duty.Offer(func(now time.Time) []gdadmit.Action {
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
	to, ok := s.Config.View().Upstream(a.Peer())
	if !ok || s.Peers == nil {
		notRun(reasonRelay, notReadyRetry).write(w)
		return
	}
	out := q.Clone(ctx)
	prepare(ctx, out.Header)
	out.Header.Set(HeaderHops, strconv.Itoa(q.hops+1))
	out.Header.Set(HeaderService, strconv.Itoa(int(q.service.ID())))
	res, reached, err := s.Peers.Relay(ctx, to, out)
	switch {
	case err == nil:
		answer(w, res)
	case reached && !q.safe():
		unknown(reasonRelay).write(w)
	default:
		notRun(reasonRelay, notReadyRetry).write(w)
	}
}

func (s *Server) header(id uint64) {
	s.duty.Post(func(now time.Time) []gdadmit.Action { return s.core.Header(now, id) })
}

func (s *Server) finish(id uint64, o gdadmit.Outcome) {
	s.duty.Post(func(now time.Time) []gdadmit.Action { return s.core.Finish(now, id, o) })
}

func (s *Server) note(q *request, action, reason string, peer gdconf.UpstreamID) {
	if s.Decided == nil {
		return
	}
	s.Decided(Decision{Request: q.id, Path: q.URL.Path, Action: action, Reason: reason, Peer: peer})
}
