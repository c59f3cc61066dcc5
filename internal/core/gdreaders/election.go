// Package gdreaders elects the entry hosts that read the store; the others follow them.
//
// Two readers are enough for any number of hosts, so that the load on the store does
// not grow with the deployment. There is no leader: each host decides for itself from
// the beacons that it receives. A reader sends beacons with its revision and the age of
// its state. The others, the followers, send it hellos, by which it learns of them. A
// host that receives no beacon of a reader with recent state becomes a reader, those of
// the best rank first.
//
// # Usage
//
//	e := &gdreaders.Election{Self: self, Rank: rank, Seeds: seeds}
//	for _, to := range e.Tick(now, age) { // send a beacon to each, which relays it to its targets
//		...
//	}
//	e.HandleBeacon(now, from, beacon)
//	if e.Reading() {
//		...
//	}
//
// The result of Tick is valid until the next call. An Election is not safe for
// concurrent use.
package gdreaders

import (
	"cmp"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// NumReaders is how many hosts read the store, so that the other one covers the loss
	// of one at once.
	NumReaders = 2
	// BeaconInterval is the interval between a reader's beacons: a third of a second,
	// so that two may be lost before the reader is considered gone.
	BeaconInterval = 300 * time.Millisecond
	// helloInterval is the interval between the hellos of followers.
	helloInterval = time.Second
	// readerTimeout is how long a reader counts after its last beacon.
	readerTimeout = 3*BeaconInterval + 100*time.Millisecond
	// maxReaderAge is the age of a reader's state up to which the reader counts: the
	// longest watch plus the time for its answer.
	maxReaderAge = 2 * time.Second
	// memberTimeout is how long a host counts after it was last observed.
	memberTimeout = 4 * helloInterval
	// startupSlots is the number of turns over which hosts spread that start at the
	// same time and don't know each other yet.
	startupSlots = 8
	// turnInterval is the delay between two ranks that start to read. It comes on top of
	// noReaderTimeout if no reader is left, and of fewReadersTimeout if one is.
	turnInterval = 150 * time.Millisecond
	// noReaderTimeout is how long a host waits for a reader's beacon before it reads:
	// two beacons and, after a start, the time to learn of the others.
	noReaderTimeout   = 2 * BeaconInterval
	fewReadersTimeout = time.Second
	// MaxMembers limits the members in a beacon, which are the next ones to read:
	// 75 bytes.
	MaxMembers = 5
	// maxHosts limits the number of hosts that are tracked.
	maxHosts = 4096
)

// Member is a host that is listed in a beacon.
type Member struct {
	Address gdflow.Address
	// Rank orders the hosts that may read, the lowest first.
	Rank uint32
}

// Beacon is what a host announces about itself.
type Beacon struct {
	// Members are some of the hosts that the sender knows.
	Members []Member
	// Revision is the revision of the sender's view, and Age the time since it was
	// confirmed.
	Revision gddiscovery.Revision
	Age      time.Duration
	// Unconfirmed is the checksum of what the sender keeps from an earlier era of the
	// source, or 0, and SettlingLeft how long its view may lack running upstreams since the
	// latest era began.
	Unconfirmed  uint64
	SettlingLeft time.Duration
	Rank         uint32
	// Domain is the sender's failure domain.
	Domain string
	// Reading reports that the sender reads the store.
	Reading bool
	// Leaving reports that the sender is shutting down.
	Leaving bool
}

type peer struct {
	receivedAt time.Time // from the host itself, zero if only listed by others
	listedAt   time.Time
	age        time.Duration
	rank       uint32
	domain     string
	reading    bool
	// needsBeacon is true for a new host until it was sent a beacon.
	needsBeacon bool
}

// Election decides whether this host reads the store. Its exported fields must be set
// before the first call.
type Election struct {
	Self gdflow.Address
	Rank uint32
	// Domain is the failure domain of the host.
	Domain string
	Seeds  []gdflow.Address

	known   map[gdflow.Address]*peer
	reading bool
	leaving bool
	// lastEnough is when there were last enough readers, lastSome when there was one.
	lastEnough, lastSome time.Time
	lastSent             time.Time
	sendNow              bool
	noReaderYet          bool // no beacon of a reader was received since the start
	out                  []Recipient
	toReaders            bool // the recipients of the last Tick are readers
}

// Reading reports whether this host reads the store.
func (e *Election) Reading() bool { return e.reading }

// Leave makes the host stop reading, because it is shutting down.
func (e *Election) Leave() { e.leaving, e.sendNow = true, true }

// KnownHosts returns the number of known hosts.
func (e *Election) KnownHosts() int { return len(e.known) }

// TriggerBeacon makes the next Tick send beacons at once, because the view has changed.
func (e *Election) TriggerBeacon() { e.sendNow = e.sendNow || e.reading }

// HandleBeacon handles a received beacon.
func (e *Election) HandleBeacon(now time.Time, from gdflow.Address, b Beacon) {
	if from == e.Self {
		return
	}
	if b.Leaving {
		delete(e.known, from)
		return
	}
	o := e.peerAt(from)
	if o == nil {
		return
	}
	// A host that only others have listed may know this one already.
	o.needsBeacon = o.needsBeacon || o.receivedAt.IsZero()
	o.receivedAt, o.rank, o.domain, o.reading, o.age = now, b.Rank, b.Domain, b.Reading, b.Age
	for _, m := range b.Members {
		if m.Address == e.Self {
			continue
		}
		if o := e.peerAt(m.Address); o != nil {
			o.listedAt, o.rank = now, m.Rank
		}
	}
}

// peerAt returns the peer at the address and adds it if it is new. It returns nil if
// maxHosts are tracked already.
func (e *Election) peerAt(a gdflow.Address) *peer {
	o, ok := e.known[a]
	if !ok {
		if len(e.known) >= maxHosts {
			return nil
		}
		if e.known == nil {
			e.known = make(map[gdflow.Address]*peer)
		}
		o = &peer{}
		e.known[a] = o
	}
	return o
}

func (o *peer) lastObserved() time.Time {
	if o.listedAt.After(o.receivedAt) {
		return o.listedAt
	}
	return o.receivedAt
}

func (o *peer) isFresh(now time.Time) bool {
	return o.reading && now.Sub(o.receivedAt) < readerTimeout && o.age+now.Sub(o.receivedAt) < maxReaderAge
}

// Tick decides whether this host reads, and returns the hosts to send a beacon to. Age
// is the age of the host's own state.
func (e *Election) Tick(now time.Time, age time.Duration) []Recipient {
	if e.lastEnough.IsZero() {
		e.lastEnough, e.lastSome, e.noReaderYet = now, now, true
	}
	for a, o := range e.known {
		if now.Sub(o.lastObserved()) > memberTimeout {
			delete(e.known, a)
		}
	}
	e.decide(now, age)
	return e.recipients(now)
}

// readerCount summarises the known readers.
type readerCount struct {
	fresh    int // readers with recent state
	better   int // those of them with a better rank
	position int // hosts with a better rank that do not read
}

func (e *Election) count(now time.Time) readerCount {
	var c readerCount
	for _, o := range e.known {
		better := o.rank < e.Rank
		switch {
		case o.isFresh(now):
			c.fresh++
			if better {
				c.better++
			}
		case better && !o.reading:
			c.position++
		}
	}
	return c
}

// decide starts or stops reading.
func (e *Election) decide(now time.Time, age time.Duration) {
	c := e.count(now)
	if c.fresh >= NumReaders {
		e.lastEnough = now
	}
	if c.fresh > 0 {
		e.lastSome, e.noReaderYet = now, false
	}
	if e.noReaderYet {
		c.position = max(c.position, int(e.Rank%startupSlots))
	}
	if reads := e.shouldRead(now, age, c); reads != e.reading {
		e.reading, e.sendNow = reads, true
		e.lastEnough, e.lastSome = now, now
	}
}

// shouldRead reports whether the host should read from now on.
func (e *Election) shouldRead(now time.Time, age time.Duration, c readerCount) bool {
	turn := time.Duration(c.position) * turnInterval
	switch {
	case e.leaving && (c.fresh > 0 || !e.reading):
		return false
	case e.reading:
		return c.better < NumReaders && (age <= maxReaderAge || c.fresh == 0)
	case c.fresh == 0:
		return now.Sub(e.lastSome) >= noReaderTimeout+turn
	case c.fresh < NumReaders:
		return now.Sub(e.lastEnough) >= fewReadersTimeout+turn
	}
	return false
}

// recipients returns the recipients of the next beacon: all hosts if this one is a
// reader; otherwise the readers, or any host that may know one.
func (e *Election) recipients(now time.Time) []Recipient {
	e.out, e.toReaders = e.out[:0], false
	if !e.due(now) {
		return e.newPeers()
	}
	e.sendNow, e.lastSent = false, now
	if !e.reading && !e.leaving {
		e.addReaders(now)
	}
	if len(e.out) > 0 {
		e.toReaders = true
		return e.out
	}
	if e.reading && len(e.known) > maxDirect {
		e.addRelays(now)
	} else {
		e.addAll()
	}
	for _, a := range e.Seeds {
		if _, ok := e.known[a]; !ok && a != e.Self {
			e.out = direct(e.out, a)
		}
	}
	return e.out
}

// addReaders adds the readers with recent state to the recipients.
func (e *Election) addReaders(now time.Time) {
	for a, o := range e.known {
		if o.isFresh(now) {
			e.out = direct(e.out, a)
		}
	}
}

// addAll adds all known hosts to the recipients.
func (e *Election) addAll() {
	for a, o := range e.known {
		o.needsBeacon = false
		e.out = direct(e.out, a)
	}
}

// SentToAll reports whether the Tick at the time returned all known hosts, and not just
// new ones.
func (e *Election) SentToAll(now time.Time) bool { return e.lastSent.Equal(now) }

// due reports whether the next beacon is due.
func (e *Election) due(now time.Time) bool {
	interval := helloInterval
	if e.reading || e.noReaderYet {
		interval = BeaconInterval
	}
	return e.sendNow || now.Sub(e.lastSent) >= interval
}

// newPeers returns the newly discovered hosts, so that both ends of a hello know each
// other at once.
func (e *Election) newPeers() []Recipient {
	for a, o := range e.known {
		if o.needsBeacon {
			o.needsBeacon = false
			e.out = direct(e.out, a)
		}
	}
	return e.out
}

// Beacon returns the beacon of this host for the recipients of the last Tick. Readers know
// all hosts, so that one for them lists no members.
func (e *Election) Beacon(now time.Time, revision gddiscovery.Revision, age time.Duration) Beacon {
	b := Beacon{Revision: revision, Age: age, Rank: e.Rank, Domain: e.Domain, Reading: e.reading, Leaving: e.leaving}
	if e.toReaders {
		return b
	}
	for a, o := range e.known {
		// Only hosts that were observed directly are listed, so that one that is gone
		// expires.
		if now.Sub(o.receivedAt) < memberTimeout {
			b.Members = append(b.Members, Member{Address: a, Rank: o.rank})
		}
	}
	slices.SortFunc(b.Members, func(x, y Member) int { return cmp.Compare(x.Rank, y.Rank) })
	b.Members = b.Members[:min(len(b.Members), MaxMembers)]
	return b
}
