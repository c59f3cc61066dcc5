package gdsync

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// UpdateReceived takes in an update from a peer, asked for or not.
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
		return c.enter(now, from, next)
	}
	if m, ok := c.members.find(from); ok && base != nil {
		return []Action{Pull{From: m}} // a snapshot tells whether the difference was wrong
	}
	return c.reject(now, u.Revision, err)
}

// VersionReceived takes in the version that a peer had in force when it sent some
// message. A newer one is pulled, and a peer with an older one gets an update.
func (c *Core) VersionReceived(now time.Time, from string, v gdconf.Version) []Action {
	switch v.Compare(c.state.Version()) {
	case 0:
		return nil
	case 1:
		return c.pull(now, from, v)
	}
	return c.correct(now, from, v)
}

// DigestReplyReceived takes in a peer's answer to a digest that was sent at the time
// asked. Only an answer to a question from after the pause ends the wait for a
// confirmation: what waited in buffers meanwhile is as old as the pause.
func (c *Core) DigestReplyReceived(now, asked time.Time, from string, v gdconf.Version) []Action {
	if !c.confirmBy.IsZero() && !asked.Before(c.resumedAt) {
		c.confirmAt = v
		c.tryConfirm()
	}
	if v.Compare(c.state.Version()) <= 0 {
		return nil
	}
	return c.pull(now, from, v)
}

// DigestReceived takes in a digest from a peer. Of the two ends the older one pulls,
// so that one difference is not mended twice. A peer that was not known is a
// member from now on: a process that started without any list learns its peers
// in this way.
func (c *Core) DigestReceived(now time.Time, from Member, v gdconf.Version) []Action {
	if v.Compare(c.state.Version()) <= 0 {
		return nil
	}
	c.members.learn(from)
	return c.pull(now, from.name, v)
}

// tryConfirm ends the wait when the version that a peer answered is reached.
func (c *Core) tryConfirm() {
	known := c.confirmAt != (gdconf.Version{})
	if known && c.confirmAt.Compare(c.state.Version()) <= 0 {
		c.confirmBy = time.Time{}
	}
}

// correct sends a peer with an older version what it lacks.
func (c *Core) correct(now time.Time, peer string, v gdconf.Version) []Action {
	if last, ok := c.corrected[peer]; ok && now.Sub(last) < pushAgain {
		return nil
	}
	to, ok := c.members.find(peer)
	if !ok || v == (gdconf.Version{}) {
		return nil // a new process asks by itself
	}
	if len(c.corrected) >= maxCorrected {
		clear(c.corrected)
	}
	c.corrected[peer] = now
	u, _ := c.UpdateSince(v)
	return []Action{c.offer(to, u)}
}

// offer pushes a small update. Of a large one it tells the version only: the
// peer may be getting it already.
func (c *Core) offer(to Member, u Update) Action {
	if u.IsSnapshot() || u.size() > eagerBytes {
		return Digest{To: to, Version: c.state.Version()}
	}
	return Push{To: to, Update: u}
}

// pull asks a peer for the version, unless one that is as high is being pulled.
func (c *Core) pull(now time.Time, from string, v gdconf.Version) []Action {
	if !c.pulling.retryAt.IsZero() && c.pulling.version.Compare(v) >= 0 {
		return nil
	}
	c.pulling = pulling{version: v, retryAt: now.Add(c.retryAfter())}
	if m, ok := c.members.find(from); ok {
		return []Action{Pull{From: m, Have: c.state.Version()}}
	}
	return c.pullAnywhere()
}

// retryAfter returns the time that a pull has to bring something.
func (c *Core) retryAfter() time.Duration {
	if c.state == nil {
		return snapshotRetry
	}
	return pullRetry
}

func (c *Core) pullAnywhere() []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, 1, "") {
		acts = append(acts, Pull{From: m, Have: c.state.Version()})
	}
	return acts
}

func (c *Core) pullAgain(now time.Time) []Action {
	c.pulling.tries++
	if c.pulling.tries > pullTries || c.pulling.version.Compare(c.state.Version()) <= 0 {
		c.pulling = pulling{}
		return nil
	}
	c.pulling.retryAt = now.Add(c.retryAfter())
	return c.pullAnywhere()
}

// digest tells one peer the version and asks for the peer's.
func (c *Core) digest() []Action {
	p, ok := c.members.nearPeer(c.Rand)
	if !ok {
		return nil
	}
	return []Action{Digest{To: p, Version: c.state.Version()}}
}

// enter puts a newer configuration in force and pushes it on.
func (c *Core) enter(now time.Time, from string, next *State) []Action {
	prev := c.state
	if prev != nil {
		c.former = append(c.former, prev.withoutView())
		if len(c.former) > keptStates {
			c.former = c.former[1:]
		}
	}
	c.state = next
	c.status.ActiveSince = now
	c.tryConfirm()
	c.members.setView(next.View())
	c.leaveJoining(now)
	if c.pulling.version.Compare(next.Version()) <= 0 {
		c.pulling = pulling{}
	}
	acts := []Action{Activated{State: next}}
	if prev == nil && from != "" {
		return acts // what a new process learns from a peer is no news
	}
	return append(acts, c.spread(prev, from)...)
}

func (c *Core) leaveJoining(now time.Time) {
	if !c.joining {
		return
	}
	c.joining = false
	c.joinBy = time.Time{}
	c.nextRead = now.Add(c.readInterval())
	c.nextHosts = later(c.nextHosts, now.Add(c.hostsInterval()))
}

// spread pushes the configuration in force to random peers at once.
func (c *Core) spread(prev *State, from string) []Action {
	var acts []Action
	u := c.state.update(prev)
	for _, m := range c.members.sample(c.Rand, c.Fanout, from) {
		acts = append(acts, c.offer(m, u))
	}
	return acts
}

func (c *Core) reject(now time.Time, revision uint64, err error) []Action {
	c.status.RejectedAt = now
	c.status.RejectedRevision = revision
	c.status.RejectedReason = err.Error()
	return []Action{Rejected{Revision: revision, Err: err}}
}
