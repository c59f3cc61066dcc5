package gdsync

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultReadsPerSecond is the rate of platform calls of the whole fleet.
	DefaultReadsPerSecond = 100.0
	// DefaultFanout is the number of peers to which a new version is pushed.
	DefaultFanout = 8
	// DefaultDigestInterval is the mean time between two digests of one process.
	DefaultDigestInterval = time.Second
	// DefaultConfirmTimeout bounds the wait for a peer after a pause.
	DefaultConfirmTimeout = 500 * time.Millisecond

	// joinTimeout is how long a new process waits for a reply from its peers
	// before it reads the platform.
	joinTimeout = 500 * time.Millisecond
	// pullRetryInterval is the delay after which an unanswered pull is sent to
	// another peer.
	pullRetryInterval = 500 * time.Millisecond
	// snapshotRetryInterval is the same delay for a new process, which pulls a
	// whole snapshot.
	snapshotRetryInterval = time.Second
	// maxPullAttempts bounds the retries of the pull of one version.
	maxPullAttempts = 8
	// minCorrectionInterval is the minimum interval between two corrections sent
	// to the same peer.
	minCorrectionInterval = 500 * time.Millisecond
	// maxTrackedCorrections bounds the peers whose last correction is recorded.
	maxTrackedCorrections = 1024
	// maxUnrequestedPushBytes is the size of the largest update that is pushed
	// without a request. For a larger one the peer is sent the version only, since
	// it may already have the update.
	maxUnrequestedPushBytes = 16 << 10
	// maxPreviousStates is the number of previous states that can be the base of a
	// difference. A peer with an older one gets a snapshot.
	maxPreviousStates = 16
)

// Core decides for one process which configuration is active and what to
// request from peers and from the platform. Set the exported fields before
// Start. It is not safe for concurrent use.
type Core struct {
	// Self is the name of the process in the fleet.
	Self string
	// Rand is the random source.
	Rand *rand.Rand
	// Seeds are the peers from the local settings. They are queried when no other
	// peer is known.
	Seeds []Member
	// ReadsPerSecond is the rate of platform calls of the whole fleet; zero means
	// DefaultReadsPerSecond.
	ReadsPerSecond float64
	// Fanout is the number of peers to which a new version is pushed; zero means
	// DefaultFanout.
	Fanout int
	// DigestInterval is the mean time between digests; zero means
	// DefaultDigestInterval.
	DigestInterval time.Duration
	// ConfirmTimeout bounds the wait for a peer after a pause; zero means
	// DefaultConfirmTimeout.
	ConfirmTimeout time.Duration

	state    *State
	previous []*State
	status   Status
	members  membership
	fetch    valueFetch
	pulling  pendingPull
	leasing  leaseState

	joining         bool
	failures        int
	joinDeadline    time.Time
	resumedAt       time.Time
	confirmDeadline time.Time
	confirmVersion  gdconf.Version
	nextIndexRead   time.Time
	nextHostsRead   time.Time
	nextDigest      time.Time
	lastCorrection  map[string]time.Time
}

// pendingPull is a version that the process knows to exist and has not received
// yet.
type pendingPull struct {
	version  gdconf.Version
	retryAt  time.Time
	attempts int
}

// Start starts a process that has no configuration. It requests the list of
// hosts and sends a digest to the peers that are already known.
func (c *Core) Start(now time.Time) []Action {
	c.setDefaults()
	c.joining = true
	c.members.self = c.Self
	c.members.seeds = c.Seeds
	c.members.merge()
	c.joinDeadline = now.Add(joinTimeout)
	c.nextDigest = now.Add(c.digestInterval())
	c.nextHostsRead = now.Add(c.hostsReadInterval())
	return append([]Action{ReadHosts{}}, c.sendDigests(c.Fanout)...)
}

func (c *Core) setDefaults() {
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	if c.Fanout == 0 {
		c.Fanout = DefaultFanout
	}
	if c.DigestInterval == 0 {
		c.DigestInterval = DefaultDigestInterval
	}
	if c.ConfirmTimeout == 0 {
		c.ConfirmTimeout = DefaultConfirmTimeout
	}
	c.lastCorrection = map[string]time.Time{}
}

// sendDigests sends a digest to up to n random peers.
func (c *Core) sendDigests(n int) []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, n, "") {
		acts = append(acts, Digest{To: m, Version: c.state.Version()})
	}
	return acts
}

// HostsRead handles the platform's list of hosts. The agents of the active
// configuration are members even if the list lacks them.
func (c *Core) HostsRead(now time.Time, hosts []Member) []Action {
	c.status.PlatformContact = now
	first := c.joining && len(c.members.hosts) == 0
	c.failures = 0
	c.members.setHosts(hosts)
	c.nextHostsRead = now.Add(c.hostsReadInterval())
	if !first || c.members.size() == 1 {
		return nil
	}
	c.joinDeadline = now.Add(joinTimeout)
	return c.sendDigests(c.Fanout)
}

// HostsFailed handles a failed read of the list of hosts. The previous list is
// kept.
func (c *Core) HostsFailed(now time.Time, err error) { c.platformFailed(now, err) }

// Tick performs what is due.
func (c *Core) Tick(now time.Time) []Action {
	var acts []Action
	if due(now, c.confirmDeadline) {
		c.confirmDeadline = time.Time{}
	}
	if due(now, c.joinDeadline) {
		c.joinTimedOut(now)
	}
	if due(now, c.nextIndexRead) {
		c.nextIndexRead = now.Add(c.indexReadInterval())
		acts = append(acts, readIndex())
	}
	if due(now, c.nextHostsRead) {
		c.nextHostsRead = now.Add(c.hostsReadInterval())
		acts = append(acts, ReadHosts{})
	}
	if due(now, c.nextDigest) {
		c.nextDigest = now.Add(c.digestInterval())
		acts = append(acts, c.sendDigest()...)
	}
	if due(now, c.pulling.retryAt) {
		acts = append(acts, c.retryPull(now)...)
	}
	return append(acts, c.tickLease(now)...)
}

// joinTimedOut makes a new process read the platform, unless it is pulling a
// version from a peer.
func (c *Core) joinTimedOut(now time.Time) {
	if !c.pulling.retryAt.IsZero() {
		c.joinDeadline = now.Add(joinTimeout)
		return
	}
	c.joinDeadline = time.Time{}
	c.nextIndexRead = now.Add(c.firstReadDelay())
}

// NextTick returns the time at which Tick is next due.
func (c *Core) NextTick() time.Time {
	next := c.nextDigest
	for _, t := range []time.Time{c.confirmDeadline, c.joinDeadline, c.nextIndexRead, c.nextHostsRead, c.pulling.retryAt, c.leasing.readAt, c.leasing.renewAt} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

func due(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }

// Resumed handles a pause of the process. MayDecide reports false until a peer
// has confirmed the version or ConfirmTimeout has passed.
func (c *Core) Resumed(now time.Time, _ time.Duration) []Action {
	if c.state == nil {
		return nil
	}
	c.resumedAt = now
	c.confirmVersion = gdconf.Version{}
	c.confirmDeadline = now.Add(c.ConfirmTimeout)
	return c.sendDigests(c.Fanout)
}

// Ready reports whether a configuration is active.
func (c *Core) Ready() bool { return c.state != nil }

// MayDecide reports whether the process may decide by its configuration: one is
// active, and the process is not waiting for a peer to confirm its version
// after a pause.
func (c *Core) MayDecide(now time.Time) bool {
	return c.state != nil && (c.confirmDeadline.IsZero() || due(now, c.confirmDeadline))
}

// State returns the active configuration, or nil if there is none yet.
func (c *Core) State() *State { return c.state }

// View returns the view of the active configuration, or nil if there is none
// yet.
func (c *Core) View() *gdconf.View {
	if c.state == nil {
		return nil
	}
	return c.state.View()
}

// Status returns the status of the core at the given time.
func (c *Core) Status(now time.Time) Status {
	s := c.status
	s.MemberCount = c.members.size()
	s.Version = c.state.Version()
	if s.Seen.Compare(s.Version) < 0 {
		s.Seen = s.Version
	}
	s.Confirming = c.state != nil && !c.MayDecide(now)
	return s
}

// UpdateSince returns the update for a peer with the given version: a
// difference if the state with that version is still known, otherwise a
// snapshot. It reports false if the active version is not newer.
func (c *Core) UpdateSince(have gdconf.Version) (Update, bool) {
	if c.state.Version().Compare(have) <= 0 {
		return Update{}, false
	}
	return c.state.update(c.previousState(have)), true
}

func (c *Core) previousState(v gdconf.Version) *State {
	for _, s := range c.previous {
		if s.Version() == v {
			return s
		}
	}
	return nil
}
