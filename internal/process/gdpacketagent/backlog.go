package gdpacketagent

import (
	"bytes"
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

// minTickInterval is the minimum time between two passes over what is due.
const minTickInterval = time.Millisecond

// packetStore has copies of the packets that the guard keeps back. The guard limits their
// number.
type packetStore map[uint64][]byte

// exchange stores the packet at hand if the action keeps it back. Otherwise it returns the
// packet that the action concerns, and removes a kept one.
func (s packetStore) exchange(a *gdguard.Action, raw []byte) []byte {
	switch {
	case a.Kept == 0:
		return raw
	case a.Verb == gdguard.Keep:
		s[a.Kept] = bytes.Clone(raw)
		return raw
	}
	raw = s[a.Kept]
	delete(s, a.Kept)
	return raw
}

// wakeTick wakes tick if the guard has something due. It is called with mu locked.
func (a *Agent) wakeTick() {
	if a.Guard.NextTick().IsZero() {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// tick lets the guard do what is due, while there is anything.
func (a *Agent) tick(ctx context.Context) {
	out := a.newSender()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for ctx.Err() == nil {
			a.mu.Lock()
			at := a.Guard.NextTick()
			a.mu.Unlock()
			if at.IsZero() {
				break
			}
			t.Reset(max(time.Until(at), minTickInterval))
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			case <-a.wake: // another one may be due earlier
				continue
			}
			a.mu.Lock()
			now := time.Now()
			out.execute(now, gdflow.Packet{}, nil, a.Guard.Tick(now))
			a.mu.Unlock()
			out.flush()
		}
	}
}

// noteRelease records a request that is no longer kept back. It is called with mu locked.
func (a *Agent) noteRelease(now time.Time, r gdguard.Release) {
	a.metrics.countRelease(r)
	a.metrics.event(now, a.Log, gdlog.RequestReleased, "flow", r.Key, "priority", r.Priority, "share-rank", r.Share,
		"ahead", r.Ahead, "kept-for", r.KeptFor.String(), "outcome", r.Cause.String(), "load", a.Guard.Load())
}

// noteEarlyAnswers records that the upstream is suspected of failing requests. It is called with
// mu locked.
func (a *Agent) noteEarlyAnswers(now time.Time) {
	a.metrics.earlyAnswers.Inc(1)
	a.metrics.event(now, a.Log, gdlog.UpstreamAnswersEarly, "load", a.Guard.Load(), "revision", a.Guard.Revision())
}
