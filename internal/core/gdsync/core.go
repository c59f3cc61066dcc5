package gdsync

import (
	"math/rand/v2"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	// DefaultReadsPerSecond is the whole fleet's rate of platform calls.
	DefaultReadsPerSecond = 100.0
	// DefaultFanout is the number of peers to which a new version is pushed.
	DefaultFanout = 8
	// DefaultDigestInterval is the mean time between two digests of one process.
	DefaultDigestInterval = time.Second
	// DefaultConfirmTimeout bounds the wait for a peer after a pause.
	DefaultConfirmTimeout = 500 * time.Millisecond

	// joinWait is the time that peers have to answer a new process before it
	// turns to the platform.
	joinWait = 500 * time.Millisecond
	// pullRetry is the time after which a pull that brought nothing is sent to
	// another peer.
	pullRetry = 500 * time.Millisecond
	// snapshotRetry is the same for a new process, which gets a snapshot.
	snapshotRetry = time.Second
	// pullTries bounds the peers that are asked for one version.
	pullTries = 8
	// pushAgain is the least time between two corrections of the same peer.
	pushAgain = 500 * time.Millisecond
	// maxCorrected bounds the peers whose last correction is remembered.
	maxCorrected = 1024
	// eagerBytes is the largest update that is pushed unasked. For a larger one
	// the peer is told the version first, since it may have it already.
	eagerBytes = 16 << 10
	// keptStates is the number of former states from which a difference can be
	// made; an older peer gets a snapshot.
	keptStates = 16
)

// Core decides for one process which configuration is in force and what it
// asks of its peers and of the platform. Set the exported fields before Start.
// It is not safe for concurrent use.
type Core struct {
	// Self is the process's name in the fleet.
	Self string
	// Rand is the random source.
	Rand *rand.Rand
	// Seeds are peers known from the process's own settings, asked when nothing
	// else is known.
	Seeds []Member
	// ReadsPerSecond is the fleet's total rate of platform calls; zero means
	// DefaultReadsPerSecond.
	ReadsPerSecond float64
	// Fanout is the number of peers to which a new version is pushed; zero means
	// DefaultFanout.
	Fanout int
	// DigestInterval is the mean time between digests; zero means
	// DefaultDigestEvery.
	DigestInterval time.Duration
	// ConfirmTimeout bounds the wait for a peer after a pause; zero means
	// DefaultConfirmWithin.
	ConfirmTimeout time.Duration

	state   *State
	former  []*State
	status  Status
	members membership
	reading reading
	pulling pulling
	leasing leasing

	joining    bool
	failures   int
	joinBy     time.Time
	resumedAt  time.Time
	confirmBy  time.Time
	confirmAt  gdconf.Version
	nextRead   time.Time
	nextHosts  time.Time
	nextDigest time.Time
	corrected  map[string]time.Time
}

// pulling is the version that a process knows to exist and does not have.
type pulling struct {
	version gdconf.Version
	retryAt time.Time
	tries   int
}

// Start begins the life of a process that holds no configuration. It asks for
// the list of hosts and asks the peers that it knows already.
func (c *Core) Start(now time.Time) []Action {
	c.setDefaults()
	c.joining = true
	c.members.self = c.Self
	c.members.seeds = c.Seeds
	c.members.merge()
	c.joinBy = now.Add(joinWait)
	c.nextDigest = now.Add(c.digestInterval())
	c.nextHosts = now.Add(c.hostsInterval())
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
	c.corrected = map[string]time.Time{}
}

// sendDigests asks up to n random peers for their versions.
func (c *Core) sendDigests(n int) []Action {
	var acts []Action
	for _, m := range c.members.sample(c.Rand, n, "") {
		acts = append(acts, Digest{To: m, Version: c.state.Version()})
	}
	return acts
}

// HostsRead takes in the platform's list of hosts. The agents of the
// configuration in force are members without being named here.
func (c *Core) HostsRead(now time.Time, hosts []Member) []Action {
	c.status.PlatformContact = now
	first := c.joining && len(c.members.hosts) == 0
	c.failures = 0
	c.members.setHosts(hosts)
	c.nextHosts = now.Add(c.hostsInterval())
	if !first || c.members.size() == 1 {
		return nil
	}
	c.joinBy = now.Add(joinWait)
	return c.sendDigests(c.Fanout)
}

// HostsFailed takes in that the list of hosts could not be read. The last list
// stays.
func (c *Core) HostsFailed(now time.Time, err error) { c.failed(now, err) }

// Tick does what is due.
func (c *Core) Tick(now time.Time) []Action {
	var acts []Action
	if due(now, c.confirmBy) {
		c.confirmBy = time.Time{}
	}
	if due(now, c.joinBy) {
		c.peersSilent(now)
	}
	if due(now, c.nextRead) {
		c.nextRead = now.Add(c.readInterval())
		acts = append(acts, readIndex())
	}
	if due(now, c.nextHosts) {
		c.nextHosts = now.Add(c.hostsInterval())
		acts = append(acts, ReadHosts{})
	}
	if due(now, c.nextDigest) {
		c.nextDigest = now.Add(c.digestInterval())
		acts = append(acts, c.digest()...)
	}
	if due(now, c.pulling.retryAt) {
		acts = append(acts, c.pullAgain(now)...)
	}
	return append(acts, c.leaseTick(now)...)
}

// peersSilent turns a new process to the platform, unless a peer's answer is
// under way.
func (c *Core) peersSilent(now time.Time) {
	if !c.pulling.retryAt.IsZero() {
		c.joinBy = now.Add(joinWait)
		return
	}
	c.joinBy = time.Time{}
	c.nextRead = now.Add(c.firstRead())
}

// NextTick returns the time at which Tick has something to do.
func (c *Core) NextTick() time.Time {
	next := c.nextDigest
	for _, t := range []time.Time{c.confirmBy, c.joinBy, c.nextRead, c.nextHosts, c.pulling.retryAt, c.leasing.readAt, c.leasing.renewAt} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

func due(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }

// Resumed takes in that the process was paused for the gap. Until a peer has
// confirmed its version or the wait is over, MayDecide reports false.
func (c *Core) Resumed(now time.Time, _ time.Duration) []Action {
	if c.state == nil {
		return nil
	}
	c.resumedAt = now
	c.confirmAt = gdconf.Version{}
	c.confirmBy = now.Add(c.ConfirmTimeout)
	return c.sendDigests(c.Fanout)
}

// Ready reports whether a configuration is in force.
func (c *Core) Ready() bool { return c.state != nil }

// MayDecide reports whether the process may decide by its configuration: one is
// in force, and it is not waiting for a peer's confirmation after a pause.
func (c *Core) MayDecide(now time.Time) bool {
	return c.state != nil && (c.confirmBy.IsZero() || due(now, c.confirmBy))
}

// State returns the configuration in force, nil before there is one.
func (c *Core) State() *State { return c.state }

// View returns the configuration in force as the other cores see it, nil before
// there is one.
func (c *Core) View() *gdconf.View {
	if c.state == nil {
		return nil
	}
	return c.state.View()
}

// Status returns what the core holds at the time.
func (c *Core) Status(now time.Time) Status {
	s := c.status
	s.MemberCount = c.members.size()
	s.Version = c.state.Version()
	s.Confirming = c.state != nil && !c.MayDecide(now)
	return s
}

// UpdateSince returns what a peer that has the version needs: a difference when the
// version is known here, else a snapshot. It reports false when there is
// nothing newer here.
func (c *Core) UpdateSince(have gdconf.Version) (Update, bool) {
	if c.state.Version().Compare(have) <= 0 {
		return Update{}, false
	}
	return c.state.update(c.formerState(have)), true
}

func (c *Core) formerState(v gdconf.Version) *State {
	for _, s := range c.former {
		if s.Version() == v {
			return s
		}
	}
	return nil
}
