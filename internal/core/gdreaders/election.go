// Package gdreaders decides which entry hosts read the store and which hear from
// them.
//
// Two readers are enough for any number of hosts, so that the calls to the store
// don't grow with the deployment. A reader sends beacons with its revision and the
// age of its knowledge; the others send it greetings, by which it knows them. A
// host that hears no reader with recent knowledge reads itself, those of the best
// rank first.
//
// # Usage
//
//	p := &gdreaders.Peers{Self: self, Rank: rank, Seeds: seeds}
//	for _, to := range p.Tick(now, age) { // send a beacon to each
//		...
//	}
//	p.Heard(now, from, beacon)
//	if p.Reading() {
//		...
//	}
//
// What Tick returns is valid until the next call. A Peers belongs to one goroutine.
package gdreaders

import (
	"cmp"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// NumReaders is how many hosts read the store, so that the loss of one is covered
	// at once.
	NumReaders = 2
	// BeaconInterval is the time between the beacons of a reader: a third of a second,
	// so that two may be lost before the reader is missed.
	BeaconInterval = 300 * time.Millisecond
	// greetingTime is the time between the greetings of the others.
	greetingTime = time.Second
	// readerTime is how long a reader counts after its last beacon.
	readerTime = 3*BeaconInterval + 100*time.Millisecond
	// freshAge is the age of a reader's knowledge up to which it counts: the
	// longest watch and the time for its answer.
	freshAge = 2 * time.Second
	// memberTime is how long a host counts after it was last heard of.
	memberTime = 4 * greetingTime
	// startSlots is over how many turns the hosts spread that start at the same time
	// and don't know each other yet.
	startSlots = 8
	// turnTime is the time between two ranks that begin to read because no reader
	// is left; secondTime comes before it if one is.
	turnTime = 150 * time.Millisecond
	// loneTime is how long a host waits for a reader's beacon before it reads: two
	// beacons, and at a start the time to hear of the others.
	loneTime   = 2 * BeaconInterval
	secondTime = time.Second
	// MaxMembers bounds the members that a beacon names, those that are the next to
	// read: 120 bytes.
	MaxMembers = 8
	// mostKnown bounds the hosts that are remembered.
	mostKnown = 4096
)

// Member is a host that a beacon names.
type Member struct {
	Address gdflow.Address
	// Rank orders the hosts that may read, the lowest first.
	Rank uint32
}

// Beacon is what a host says of itself.
type Beacon struct {
	// Members are some of the hosts that the sender knows.
	Members []Member
	// Revision is that of the sender's view, and Age how long ago it was confirmed.
	Revision uint64
	Age      time.Duration
	Rank     uint32
	// Reading says that the sender reads the store.
	Reading bool
	// Leaving says that the sender shuts down.
	Leaving bool
}

type peer struct {
	heard    time.Time // directly, zero if only named by others
	named    time.Time
	age      time.Duration
	revision uint64
	rank     uint32
	reading  bool
	// owed is true until a host that was heard of for the first time got a beacon.
	owed bool
}

// Election is the decision core. Its exported fields are set before the first call.
type Election struct {
	Self  gdflow.Address
	Rank  uint32
	Seeds []gdflow.Address

	known   map[gdflow.Address]*peer
	reading bool
	leaving bool
	// enough is when there were last enough readers, some when there was one.
	enough, some time.Time
	sent         time.Time
	urgent       bool
	alone        bool // no reader was heard since the start
	out          []gdflow.Address
}

// Reading reports whether this host reads the store.
func (p *Election) Reading() bool { return p.reading }

// Leave makes the host stop reading: it shuts down.
func (p *Election) Leave() { p.leaving, p.urgent = true, true }

// KnownHosts returns the number of hosts that are known.
func (p *Election) KnownHosts() int { return len(p.known) }

// TriggerBeacon makes the next Tick send beacons at once, since the view has changed.
func (p *Election) TriggerBeacon() { p.urgent = p.urgent || p.reading }

// HandleBeacon takes in a beacon.
func (p *Election) HandleBeacon(now time.Time, from gdflow.Address, b Beacon) {
	if from == p.Self {
		return
	}
	if b.Leaving {
		delete(p.known, from)
		return
	}
	o := p.at(from)
	if o == nil {
		return
	}
	// A host that only others have named may know of this one already.
	o.owed = o.owed || o.heard.IsZero()
	o.heard, o.rank, o.reading, o.age, o.revision = now, b.Rank, b.Reading, b.Age, b.Revision
	for _, m := range b.Members {
		if m.Address == p.Self {
			continue
		}
		if o := p.at(m.Address); o != nil {
			o.named, o.rank = now, m.Rank
		}
	}
}

func (p *Election) at(a gdflow.Address) *peer {
	o, ok := p.known[a]
	if !ok {
		if len(p.known) >= mostKnown {
			return nil
		}
		if p.known == nil {
			p.known = make(map[gdflow.Address]*peer)
		}
		o = &peer{}
		p.known[a] = o
	}
	return o
}

func (o *peer) last() time.Time {
	if o.named.After(o.heard) {
		return o.named
	}
	return o.heard
}

func (o *peer) isFresh(now time.Time) bool {
	return o.reading && now.Sub(o.heard) < readerTime && o.age+now.Sub(o.heard) < freshAge
}

// Tick decides who reads and returns to whom a beacon is to be sent. Age is the age
// of the host's own knowledge.
func (p *Election) Tick(now time.Time, age time.Duration) []gdflow.Address {
	if p.enough.IsZero() {
		p.enough, p.some, p.alone = now, now, true
	}
	for a, o := range p.known {
		if now.Sub(o.last()) > memberTime {
			delete(p.known, a)
		}
	}
	p.decide(now, age)
	return p.recipients(now)
}

// count is what a host knows of the readers.
type count struct {
	fresh    int // readers with recent knowledge
	better   int // those of them with a better rank
	position int // hosts of a better rank that do not read
}

func (p *Election) count(now time.Time) count {
	var c count
	for _, o := range p.known {
		better := o.rank < p.Rank
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

// decide begins or ends reading.
func (p *Election) decide(now time.Time, age time.Duration) {
	c := p.count(now)
	if c.fresh >= NumReaders {
		p.enough = now
	}
	if c.fresh > 0 {
		p.some, p.alone = now, false
	}
	if p.alone {
		c.position = max(c.position, int(p.Rank%startSlots))
	}
	if reads := p.reads(now, age, c); reads != p.reading {
		p.reading, p.urgent = reads, true
		p.enough, p.some = now, now
	}
}

// reads reports whether the host is to read from now on.
func (p *Election) reads(now time.Time, age time.Duration, c count) bool {
	turn := time.Duration(c.position) * turnTime
	switch {
	case p.leaving && (c.fresh > 0 || !p.reading):
		return false
	case p.reading:
		return c.better < NumReaders && (age <= freshAge || c.fresh == 0)
	case c.fresh == 0:
		return now.Sub(p.some) >= loneTime+turn
	case c.fresh < NumReaders:
		return now.Sub(p.enough) >= secondTime+turn
	}
	return false
}

// recipients returns to whom a beacon goes now: those of a reader to all, and the
// greetings of others to the readers, or to whoever may know one.
func (p *Election) recipients(now time.Time) []gdflow.Address {
	p.out = p.out[:0]
	if !p.due(now) {
		return p.greet()
	}
	p.urgent, p.sent = false, now
	for a, o := range p.known {
		if !p.reading && !p.leaving && o.isFresh(now) {
			p.out = append(p.out, a)
		}
	}
	if len(p.out) > 0 {
		return p.out
	}
	for a, o := range p.known {
		o.owed = false
		p.out = append(p.out, a)
	}
	for _, a := range p.Seeds {
		if _, ok := p.known[a]; !ok && a != p.Self {
			p.out = append(p.out, a)
		}
	}
	return p.out
}

// due reports whether it is time for the next beacon.
func (p *Election) due(now time.Time) bool {
	interval := greetingTime
	if p.reading || p.alone {
		interval = BeaconInterval
	}
	return p.urgent || now.Sub(p.sent) >= interval
}

// greet returns the hosts that were heard of since, so that both ends of a greeting
// know each other at once.
func (p *Election) greet() []gdflow.Address {
	for a, o := range p.known {
		if o.owed {
			o.owed = false
			p.out = append(p.out, a)
		}
	}
	return p.out
}

// Beacon returns what this host says of itself.
func (p *Election) Beacon(now time.Time, revision uint64, age time.Duration) Beacon {
	b := Beacon{Revision: revision, Age: age, Rank: p.Rank, Reading: p.reading, Leaving: p.leaving}
	for a, o := range p.known {
		// Only hosts that were heard themselves are named, so that one that is gone
		// is forgotten.
		if now.Sub(o.heard) < memberTime {
			b.Members = append(b.Members, Member{Address: a, Rank: o.rank})
		}
	}
	slices.SortFunc(b.Members, func(x, y Member) int { return cmp.Compare(x.Rank, y.Rank) })
	b.Members = b.Members[:min(len(b.Members), MaxMembers)]
	return b
}
