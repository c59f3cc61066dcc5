package gdrequest

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// loadInterval is the interval at which an agent exchanges loads with each peer. It
// is half the maximum age at which a load is used.
const loadInterval = 250 * time.Millisecond

// exchangeLoads keeps the loads of the peers up to date until the context ends. Of
// two agents the one with the lower ID calls, because one call updates both.
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
			s.exchangeWithPeers(ctx)
		}
	}
}

func (s *Server) exchangeWithPeers(ctx context.Context) {
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
			go s.exchangeWithPeer(ctx, u, own)
		}
	}
}

func (s *Server) exchangeWithPeer(ctx context.Context, u *gdconf.Upstream, own gdadmit.Load) {
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	got, err := s.Peers.ExchangeLoad(ctx, u.AgentAddress().String(), gdpeer.Load{Upstream: s.Self, Load: own})
	if err != nil {
		// The peer's load expires, and no request is relayed to it.
		return
	}
	s.observePeerLoad(got.Load)
}

// ExchangeLoad records a peer's load and returns the load of this upstream.
func (s *Server) ExchangeLoad(_ gdpeer.Sender, peer gdpeer.Load) gdpeer.Load {
	s.init()
	s.observePeerLoad(peer)
	ctx, cancel := context.WithTimeout(context.Background(), loadInterval)
	defer cancel()
	own, _ := s.Load(ctx) // on a timeout the zero load reports no free capacity
	return gdpeer.Load{Upstream: s.Self, Load: own}
}

func (s *Server) observePeerLoad(l gdpeer.Load) {
	s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action {
		s.admission.ObservePeerLoad(now, l.Upstream, l.Load)
		return nil
	})
}

// Load returns the upstream's load as sent to peers, and false if the admission
// controller does not respond before the context ends.
func (s *Server) Load(ctx context.Context) (gdadmit.Load, bool) {
	got := make(chan gdadmit.Load, 1)
	ok := s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action {
		got <- s.admission.Load(now)
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
