package gdconfsync

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

// dispatch queues each action for the workers that execute it, or calls OnChange.
func (s *Syncer) dispatch(acts []gdsync.Action) {
	for _, a := range acts {
		switch a.(type) {
		case gdsync.ReadPlatform, gdsync.ReadHosts:
			s.queue(s.platformCalls, a)
		case gdsync.Activated, gdsync.Rejected:
			if s.OnChange != nil {
				s.OnChange(a)
			}
		default:
			if s.Peers != nil {
				s.queue(s.peerCalls, a)
			}
		}
	}
}

func (s *Syncer) queue(q chan gdsync.Action, a gdsync.Action) {
	select {
	case q <- a:
	default:
		s.dropped.Add(1)
	}
}

// runCalls executes actions from the queue, one at a time.
func (s *Syncer) runCalls(ctx context.Context, q <-chan gdsync.Action) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-q:
			s.execute(ctx, a)
		}
	}
}

func (s *Syncer) execute(ctx context.Context, a gdsync.Action) {
	switch a := a.(type) {
	case gdsync.ReadPlatform:
		r := s.readValues(ctx, a)
		s.post(ctx, func(now time.Time) []gdsync.Action { return s.core.PlatformRead(now, r) })
	case gdsync.ReadHosts:
		s.readHosts(ctx)
	case gdsync.Push:
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		s.recordPeerError(s.Peers.Push(ctx, a.To, a.Update))
	case gdsync.AnnounceLease:
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		s.recordPeerError(s.Peers.Announce(ctx, a.To, a.Lease))
	case gdsync.Pull:
		s.pull(ctx, a)
	case gdsync.Digest:
		s.digest(ctx, a)
	}
}

func (s *Syncer) readValues(ctx context.Context, a gdsync.ReadPlatform) gdsync.ReadResult {
	var r gdsync.ReadResult
	for i, key := range a.Keys {
		if i > 0 && !sleep(ctx, a.MinInterval) {
			return gdsync.ReadResult{Err: ctx.Err()}
		}
		v, err := s.Platform.ReadValue(ctx, key)
		if err != nil {
			return gdsync.ReadResult{Err: err}
		}
		r.Values = append(r.Values, gdsync.PlatformValue{Key: key, Data: v.Data(), Unchanged: v.Unchanged()})
	}
	return r
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *Syncer) readHosts(ctx context.Context) {
	hosts, err := s.Platform.Hosts(ctx)
	s.post(ctx, func(now time.Time) []gdsync.Action {
		if err != nil {
			s.core.HostsFailed(now, err)
			return nil
		}
		return s.core.HostsRead(now, members(hosts))
	})
}

// members returns all hosts as members. Leaving hosts are included, because they still
// serve.
func members(hosts []gdplatform.Host) []gdsync.Member {
	list := make([]gdsync.Member, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, gdsync.NewMember(h.Name, h.Address))
	}
	return list
}

func (s *Syncer) pull(ctx context.Context, a gdsync.Pull) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	u, ok, err := s.Peers.Fetch(ctx, a.From, a.Have)
	s.recordPeerError(err)
	if err == nil && ok {
		s.HandleUpdate(a.From.Name(), u)
	}
}

func (s *Syncer) digest(ctx context.Context, a gdsync.Digest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := time.Now()
	v, err := s.Peers.ExchangeDigest(ctx, a.To, a.Version)
	s.recordPeerError(err)
	if err == nil {
		s.tryPost(func(now time.Time) []gdsync.Action { return s.core.DigestReplyReceived(now, sent, a.To.Name(), v) })
	}
}
