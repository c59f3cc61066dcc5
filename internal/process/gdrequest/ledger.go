package gdrequest

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
)

// deliverLedger hands an action of the ledger to its attempt, or to a peer. It
// runs in the ledger's goroutine and does not block.
func (s *Server) deliverLedger(act gddedup.Action) {
	switch act := act.(type) {
	case gddedup.SendQuery:
		go s.ask(act)
		return
	case gddedup.SendRelease:
		go s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Release(ctx, addr, act.Query)
		})
		return
	case gddedup.SendNotice:
		go s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
			return s.Peers.Notify(ctx, addr, act.Notice)
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
	ctx, cancel := context.WithTimeout(context.Background(), gddedup.ClaimTimeout)
	defer cancel()
	return call(ctx, addr) == nil
}

// abandon handles an action whose attempt is gone: a run that nobody will carry
// out has certainly not begun.
func (s *Server) abandon(act gddedup.Action) {
	if run, ok := act.(gddedup.Run); ok {
		go s.ended(run.RequestID(), gddedup.Outcome{Result: gddedup.ResultNotRun})
	}
}

// ask carries a question to a peer and its answer back.
func (s *Server) ask(act gddedup.SendQuery) {
	a := gddedup.Reply{Verdict: gddedup.PeerFailed}
	s.callPeerLedger(act.Peer, func(ctx context.Context, addr string) error {
		got, err := s.Peers.Query(ctx, addr, act.Query)
		if err == nil {
			a = got
		}
		return err
	})
	s.ledger.Post(func(now time.Time) []gddedup.Action {
		return s.once.ReplyReceived(now, act.RequestID(), act.Peer, a)
	})
}

// Released takes back a grant that a peer gives back.
func (s *Server) HandleRelease(q gddedup.Query) {
	s.init()
	s.ledger.Post(func(now time.Time) []gddedup.Action {
		s.once.ReleaseReceived(now, q)
		return nil
	})
}

// Told takes in what a peer tells about a key.
func (s *Server) HandleNotice(n gddedup.Notice) {
	s.init()
	s.ledger.Post(func(now time.Time) []gddedup.Action { return s.once.NoticeReceived(now, n) })
}

// Asked answers a peer's question about a key.
func (s *Server) HandleQuery(ctx context.Context, q gddedup.Query) (gddedup.Reply, error) {
	s.init()
	got := make(chan gddedup.Reply, 1)
	s.ledger.Post(func(now time.Time) []gddedup.Action {
		got <- s.once.QueryReceived(now, q)
		return nil
	})
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return gddedup.Reply{}, ctx.Err()
	}
}
