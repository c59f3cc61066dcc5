package gdrequest

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// deliverDedup delivers an action of the deduplication core to its attempt, or sends
// it to a peer. It runs in the goroutine of the core and does not block.
func (s *Server) deliverDedup(act gddedup.Action) {
	switch act := act.(type) {
	case gddedup.SendQuery:
		go s.queryPeer(act)
		return
	case gddedup.SendRelease:
		go s.callPeerAgent(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Release(ctx, addr, act.Query)
		})
		return
	case gddedup.SendNotice:
		go s.callPeerAgent(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Notify(ctx, addr, act.Notice)
		})
		return
	}
	at, ok := s.attempts.get(act.RequestID())
	if !ok {
		s.dropAction(act)
		return
	}
	select {
	case at.actions <- act:
	default:
		s.dropAction(act)
	}
}

// callPeerAgent calls the agent of a peer and reports whether the call succeeded.
func (s *Server) callPeerAgent(peer gdconf.UpstreamID, call func(ctx context.Context, addr string) error) bool {
	addr, ok := s.addressOf(peer)
	if !ok || s.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), gddedup.ClaimTimeout)
	defer cancel()
	return call(ctx, addr) == nil
}

// dropAction handles an action whose attempt has ended. If it is a run, that run has
// not started.
func (s *Server) dropAction(act gddedup.Action) {
	if run, ok := act.(gddedup.Run); ok {
		go s.postRunOutcome(run.RequestID(), gddedup.Outcome{Result: gddedup.ResultNotRun})
	}
}

// queryPeer sends a query to a peer and passes the reply to the core.
func (s *Server) queryPeer(act gddedup.SendQuery) {
	a := gddedup.Reply{Verdict: gddedup.PeerFailed}
	s.callPeerAgent(act.Peer, func(ctx context.Context, addr string) error {
		got, err := s.Peers.Query(ctx, addr, act.Query)
		if err == nil {
			a = got
		}
		return err
	})
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action {
		return s.dedup.ReplyReceived(now, act.RequestID(), act.Peer, a)
	})
}

// HandleRelease releases a grant that a peer no longer needs.
func (s *Server) HandleRelease(q gddedup.Query) {
	s.init()
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action {
		s.dedup.ReleaseReceived(now, q)
		return nil
	})
}

// HandleNotice handles a peer's notice about a key.
func (s *Server) HandleNotice(n gddedup.Notice) {
	s.init()
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action { return s.dedup.NoticeReceived(now, n) })
}

// HandleQuery replies to a peer's query about a key.
func (s *Server) HandleQuery(ctx context.Context, q gddedup.Query) (gddedup.Reply, error) {
	s.init()
	got := make(chan gddedup.Reply, 1)
	s.dedupLoop.Post(func(now time.Time) []gddedup.Action {
		got <- s.dedup.QueryReceived(now, q)
		return nil
	})
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return gddedup.Reply{}, ctx.Err()
	}
}
