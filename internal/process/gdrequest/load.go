package gdrequest

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// loadInterval is how often an agent exchanges loads with each peer. It is half
// of the age up to which a load is believed.
const loadInterval = 250 * time.Millisecond

// exchangeLoads keeps the loads of the peers fresh until the context ends. Of
// two agents the one with the lower identifier calls, since one call tells both.
func (s *Server) exchangeLoads(ctx context.Context) {
	if s.Peers == nil {
		return
	}
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.callPeers(ctx)
		}
	}
}

func (s *Server) callPeers(ctx context.Context) {
	v := s.Config.View()
	if v == nil {
		return
	}
	self, ok := v.Upstream(s.Self)
	if !ok {
		return
	}
	own, ok := s.Load(ctx)
	if !ok {
		return
	}
	for _, u := range self.Service().Upstreams() {
		if u.ID() > s.Self && !u.DomainOut() {
			go s.callPeer(ctx, u, own)
		}
	}
}

func (s *Server) callPeer(ctx context.Context, u *gdconf.Upstream, own gdadmit.Load) {
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	got, err := s.Peers.ExchangeLoad(ctx, u.AgentAddress().String(), gdpeer.Load{Upstream: s.Self, Load: own})
	if err != nil {
		// The peer's load grows old, and nothing is relayed to it.
		return
	}
	s.peerLoad(got.Load)
}

// ExchangeLoad takes in a peer's load and returns the own one.
func (s *Server) ExchangeLoad(_ gdpeer.Sender, peer gdpeer.Load) gdpeer.Load {
	s.init()
	s.peerLoad(peer)
	ctx, cancel := context.WithTimeout(context.Background(), loadInterval)
	defer cancel()
	own, _ := s.Load(ctx) // without an answer the load says that there is no room
	return gdpeer.Load{Upstream: s.Self, Load: own}
}

func (s *Server) peerLoad(l gdpeer.Load) {
	s.duty.TryPost(func(now time.Time) []gdadmit.Action {
		s.core.ObservePeerLoad(now, l.Upstream, l.Load)
		return nil
	})
}

// Load returns the upstream's load, for the peers. It waits for the core.
func (s *Server) Load(ctx context.Context) (gdadmit.Load, bool) {
	got := make(chan gdadmit.Load, 1)
	ok := s.duty.TryPost(func(now time.Time) []gdadmit.Action {
		got <- s.core.Load(now)
		return nil
	})
	if !ok {
		return gdadmit.Load{}, false
	}
	select {
	case l := <-got:
		return l, true
	case <-ctx.Done():
		return gdadmit.Load{}, false
	}
}
