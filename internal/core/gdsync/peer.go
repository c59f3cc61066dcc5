package gdsync

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// UpdateReceived handles an update from a peer, requested or not.
func (c *Core) UpdateReceived(now time.Time, from string, u Update) []Action {
	v := u.Version()
	if v.Compare(c.state.Version()) <= 0 {
		return c.VersionReceived(now, from, v)
	}
	base := c.state
	if u.IsSnapshot() {
		base = nil
	}
	if u.Base() != base.Version() {
		return c.VersionReceived(now, from, v)
	}
	next, err := base.apply(u)
	if err == nil {
		return c.activate(now, from, next)
	}
	if m, ok := c.members.find(from); ok && base != nil {
		return []Action{Pull{From: m}} // distinguishes a wrong difference from an invalid configuration
	}
	return c.reject(now, u.Revision, err)
}

// VersionReceived handles the version that was active at a peer when it sent
// some message. A newer version is pulled; a peer with an older one gets an
// update.
func (c *Core) VersionReceived(now time.Time, from string, v gdconf.Version) []Action {
	switch v.Compare(c.state.Version()) {
	case 0:
		return nil
	case 1:
		return c.pull(now, from, v)
	}
	return c.correct(now, from, v)
}

// DigestReplyReceived handles a peer's reply to a digest that was sent at
// sentAt. Only a reply to a digest sent after a pause ends the wait for
// confirmation: a reply that was buffered during the pause is as old as the
// pause.
func (c *Core) DigestReplyReceived(now, sentAt time.Time, from string, v gdconf.Version) []Action {
	if !c.confirmDeadline.IsZero() && !sentAt.Before(c.resumedAt) {
		c.confirmVersion = v
		c.tryConfirm()
	}
	if v.Compare(c.state.Version()) <= 0 {
		return nil
	}
	return c.pull(now, from, v)
}

// DigestReceived handles a digest from a peer. Only the side with the older
// version pulls, so that one difference is not repaired twice. A sender that
// was unknown becomes a member: a process that starts without any list of peers
// learns them this way.
func (c *Core) DigestReceived(now time.Time, from Member, v gdconf.Version) []Action {
	if v.Compare(c.state.Version()) <= 0 {
		return nil
	}
	c.members.learn(from)
	return c.pull(now, from.name, v)
}

// tryConfirm ends the wait for confirmation once the active version is at least
// the one that a peer replied with.
func (c *Core) tryConfirm() {
	known := c.confirmVersion != (gdconf.Version{})
	if known && c.confirmVersion.Compare(c.state.Version()) <= 0 {
		c.confirmDeadline = time.Time{}
	}
}

// correct sends an update to a peer with an older version.
func (c *Core) correct(now time.Time, peer string, v gdconf.Version) []Action {
	if last, ok := c.lastCorrection[peer]; ok && now.Sub(last) < minCorrectionInterval {
		return nil
	}
	to, ok := c.members.find(peer)
	if !ok || v == (gdconf.Version{}) {
		return nil // a new process pulls by itself
	}
	if len(c.lastCorrection) >= maxTrackedCorrections {
		clear(c.lastCorrection)
	}
	c.lastCorrection[peer] = now
	u, _ := c.UpdateSince(v)
	return []Action{c.pushOrDigest(to, u)}
}

// pushOrDigest pushes a small update. For a large one it sends the version
// only: the peer may already be receiving the update.
func (c *Core) pushOrDigest(to Member, u Update) Action {
	if u.IsSnapshot() || u.size() > maxUnrequestedPushBytes {
		return Digest{To: to, Version: c.state.Version()}
	}
	return Push{To: to, Update: u}
}

// pull requests the version from a peer, unless this version or a higher one is
// already being pulled.
func (c *Core) pull(now time.Time, from string, v gdconf.Version) []Action {
	if !c.pulling.retryAt.IsZero() && c.pulling.version.Compare(v) >= 0 {
		return nil
	}
	c.pulling = pendingPull{version: v, retryAt: now.Add(c.pullRetryDelay())}
	if c.status.Seen.Compare(v) < 0 {
		c.status.Seen = v
	}
	if m, ok := c.members.find(from); ok {
		return []Action{Pull{From: m, Have: c.state.Version()}}
	}
	return c.pullFromAny()
}

// pullRetryDelay returns the delay after which an unanswered pull is retried.
func (c *Core) pullRetryDelay() time.Duration {
	if c.state == nil {
		return snapshotRetryInterval
	}
	return pullRetryInterval
}

func (c *Core) pullFromAny() []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, 1, "") {
		acts = append(acts, Pull{From: m, Have: c.state.Version()})
	}
	return acts
}

func (c *Core) retryPull(now time.Time) []Action {
	c.pulling.attempts++
	if c.pulling.attempts > maxPullAttempts || c.pulling.version.Compare(c.state.Version()) <= 0 {
		c.pulling = pendingPull{}
		return nil
	}
	c.pulling.retryAt = now.Add(c.pullRetryDelay())
	return c.pullFromAny()
}

// sendDigest sends the active version to one peer, which replies with its own.
func (c *Core) sendDigest() []Action {
	p, ok := c.members.digestPeer(c.Rand)
	if !ok {
		return nil
	}
	return []Action{Digest{To: p, Version: c.state.Version()}}
}

// activate activates a newer configuration and pushes it to peers.
func (c *Core) activate(now time.Time, from string, next *State) []Action {
	prev := c.state
	if prev != nil {
		c.previous = append(c.previous, prev.withoutView())
		if len(c.previous) > maxPreviousStates {
			c.previous = c.previous[1:]
		}
	}
	c.state = next
	c.status.ActiveSince = now
	c.tryConfirm()
	c.members.setView(next.View())
	c.finishJoining(now)
	if c.pulling.version.Compare(next.Version()) <= 0 {
		c.pulling = pendingPull{}
	}
	acts := []Action{Activated{State: next}}
	if prev == nil && from != "" {
		return acts // a new process got it from a peer, so the others have it already
	}
	return append(acts, c.pushToPeers(prev, from)...)
}

func (c *Core) finishJoining(now time.Time) {
	if !c.joining {
		return
	}
	c.joining = false
	c.joinDeadline = time.Time{}
	c.nextIndexRead = now.Add(c.indexReadInterval())
	c.nextHostsRead = postpone(c.nextHostsRead, now.Add(c.hostsReadInterval()))
}

// pushToPeers pushes the active configuration to random peers.
func (c *Core) pushToPeers(prev *State, from string) []Action {
	var acts []Action
	u := c.state.update(prev)
	for _, m := range c.members.sample(c.Rand, c.Fanout, from) {
		acts = append(acts, c.pushOrDigest(m, u))
	}
	return acts
}

func (c *Core) reject(now time.Time, revision uint64, err error) []Action {
	c.status.RejectedAt = now
	c.status.RejectedRevision = revision
	c.status.RejectedReason = err.Error()
	return []Action{Rejected{Revision: revision, Err: err}}
}
