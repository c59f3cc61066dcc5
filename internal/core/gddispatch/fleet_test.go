package gddispatch_test

import (
	"container/heap"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// objective is the latency objective of the route.
const objective = 120 * time.Millisecond

// hop is the latency of a message from one host to another.
const hop = 500 * time.Microsecond

// event is a function to call at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// fleet simulates entry hosts, agents and upstreams in virtual time, without sockets.
type fleet struct {
	t       *testing.T
	now     time.Time
	queue   events
	seq     int
	entries map[gdflow.Address]*entry
	agents  map[gdflow.Address]*agent
	packets []gdflow.Packet
	view    *gddiscovery.View
	// resets are the flows that were reset, with the reason.
	resets map[gdflow.Key]gddispatch.Reason
	// dropped are the flows that were neither accepted nor refused, with what was missing.
	dropped map[gdflow.Key]gddispatch.Missing
	// messages counts the messages between entry hosts and agents.
	messages int
	// spills counts the offers to another service than the chosen one.
	spills map[gddispatch.SpillCause]int
	work   time.Duration
	// requestOnOpen makes each caller send a request as soon as its flow is accepted.
	requestOnOpen bool
	// way, if set, returns the latency of a message from an entry host to an agent.
	way func(i int, agent gdflow.Address) time.Duration
	// verifies, if set, ends a verification of an entry host's view. Otherwise the view is that of
	// the source.
	verifies func(e *entry, requested time.Time) []gddispatch.Action
	// unconfirmed stops the confirmations of the entry hosts' views.
	unconfirmed bool
	opened      map[gdflow.Key]time.Time
	// slowest and latestReset are the longest times from the opening of a flow to its
	// answer and to its reset.
	slowest, latestReset time.Duration
}

type entry struct {
	core     gddispatch.Dispatcher
	down     bool
	nextTick time.Time // when the next Tick is scheduled, if later than now
	verifyAt time.Time // when the next verification of the view is or may be sent
	verifies bool      // one is scheduled or in progress
	link     link
}

// link is an entry host's link to the agents. Messages that would wait for longer than
// maxQueueing are lost. The zero value has no limit.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
	lost           int
}

// maxQueueing and messageOverhead describe a link: how long a message waits at most, and
// the size of the headers of each.
const (
	maxQueueing     = 50 * time.Millisecond
	messageOverhead = 100
)

// transmit returns how long a message takes to be sent, or false if it is lost.
func (l *link) transmit(now time.Time, size int) (time.Duration, bool) {
	if l.bytesPerSecond == 0 {
		return 0, true
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > maxQueueing {
		l.lost++
		return 0, false
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size+messageOverhead) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt.Sub(now), true
}

// agent is an agent with its upstream.
type agent struct {
	at           gdflow.Address
	guard        gdguard.Guard
	down         bool // the host, including the upstream
	held         map[gdflow.Key]uint32
	received     map[gdflow.Key]int       // packets with data of flows that it holds
	kept         map[uint64]gdflow.Packet // packets that the guard keeps back
	misdelivered map[gdflow.Key]int       // packets of flows that it does not hold
	requests     int                      // requests on flows that it holds
	running      int
	maxRunning   int
	opened       int
	free         []time.Time // when each slot becomes free
	unresponsive bool        // the upstream does not answer
	older        bool        // of a build that takes silence for holding
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func upstreamAt(i int) gdflow.Address {
	return gdflow.AddressFrom([4]byte{10, byte(i % 4), byte(i / 200), byte(1 + i%200)}, 8080)
}

func entryAt(i int) gdflow.Address { return gdflow.AddressFrom([4]byte{10, 9, 0, byte(i)}, 7720) }

var serviceAt = gdflow.AddressFrom([4]byte{198, 18, 0, 1}, 443)

func callerKey(i int) gdflow.Key {
	return gdflow.NewKey(gdflow.AddressFrom([4]byte{100, 64, byte(i >> 8), byte(i)}, uint16(40000+i%1000)), serviceAt)
}

// update returns the full state of a deployment with one service.
func update(upstreams, slots int, change func(i int, u *gddiscovery.Upstream)) gddiscovery.Update {
	u := gddiscovery.Update{Revision: 100}
	u.Changes = append(u.Changes, gddiscovery.Change{
		Subject: gddiscovery.Subject{Kind: gddiscovery.Configuration}, Revision: 1,
		Config: &gddiscovery.Config{
			Version:  1,
			Routes:   []gddiscovery.Route{{Name: "r", Address: serviceAt, LatencyObjective: objective, Priority: 2, Shares: []gddiscovery.Share{{Service: "booking", Weight: 1}}}},
			Services: []gddiscovery.Service{{Name: "booking"}},
		},
	})
	for i := range upstreams {
		up := gddiscovery.Upstream{ID: upstreamAt(i).String(), Service: "booking", Domain: "a", Address: upstreamAt(i), Slots: slots}
		if change != nil {
			change(i, &up)
		}
		u.Changes = append(u.Changes, gddiscovery.Change{
			Subject: gddiscovery.Subject{Kind: gddiscovery.Registration, Name: up.ID}, Revision: gddiscovery.Revision(2 + i), Upstream: &up,
		})
	}
	return u
}

func newFleet(t *testing.T, entries, upstreams, slots int) *fleet {
	f := &fleet{
		t: t, now: start, entries: make(map[gdflow.Address]*entry), agents: make(map[gdflow.Address]*agent),
		resets: make(map[gdflow.Key]gddispatch.Reason), dropped: make(map[gdflow.Key]gddispatch.Missing),
		spills: make(map[gddispatch.SpillCause]int), work: 20 * time.Millisecond, opened: make(map[gdflow.Key]time.Time),
	}
	var state gddiscovery.State
	require.True(t, state.Load(f.now, update(upstreams, slots, nil)))
	f.view = state.View()
	for i := range upstreams {
		f.addAgent(i, true)
	}
	for i := range entries {
		f.addEntry(i)
	}
	return f
}

func (f *fleet) addEntry(i int) *entry {
	e := &entry{}
	e.core.SetView(f.now, f.view)
	e.core.ConfirmView(f.now, time.Time{})
	f.entries[entryAt(i)] = e
	return e
}

// addAgent starts an agent and, if fresh is set, its upstream.
func (f *fleet) addAgent(i int, fresh bool) *agent {
	ag := &agent{at: upstreamAt(i), guard: gdguard.Guard{Service: "booking", ObservedFromStart: fresh}, received: make(map[gdflow.Key]int), misdelivered: make(map[gdflow.Key]int), kept: make(map[uint64]gdflow.Packet)}
	if old := f.agents[ag.at]; old != nil && !fresh {
		ag.held, ag.requests, ag.opened, ag.maxRunning = old.held, old.requests, old.opened, old.maxRunning
	} else {
		ag.held = make(map[gdflow.Key]uint32)
	}
	f.agents[ag.at] = ag
	return ag
}

// confirm confirms the view of an entry host.
func (f *fleet) confirm(e *entry) {
	if !f.unconfirmed {
		e.core.ConfirmView(f.now, time.Time{})
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now.Add(d), seq: f.seq, do: do})
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		ev := heap.Pop(&f.queue).(event)
		f.now = ev.at
		ev.do()
	}
	f.now = end
}

func (f *fleet) hopTo(i int, agent gdflow.Address) time.Duration {
	if f.way == nil {
		return hop
	}
	return f.way(i, agent)
}

// raw returns the encoding of a packet.
func (f *fleet) raw(p gdflow.Packet) []byte {
	f.packets = append(f.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(f.packets)-1))
}

func (f *fleet) packet(raw []byte) gdflow.Packet { return f.packets[binary.BigEndian.Uint32(raw)] }

// send delivers a caller's packet to an entry host.
func (f *fleet) send(i int, p gdflow.Packet) {
	f.after(hop, func() {
		e := f.entries[entryAt(i)]
		if e == nil || e.down {
			return
		}
		f.confirm(e)
		f.act(i, e, e.core.HandleCallerPacket(f.now, p, f.raw(p)))
	})
}

// open opens a flow through an entry host.
func (f *fleet) open(i int, k gdflow.Key) {
	f.opened[k] = f.now
	f.send(i, gdflow.NewPacket(k, gdflow.Open))
}

// request sends a request on an open flow.
func (f *fleet) request(i int, k gdflow.Key) { f.sendData(i, k, 0, 100) }

// sendData sends a packet with data on an open flow.
func (f *fleet) sendData(i int, k gdflow.Key, seq uint32, size int) {
	p := gdflow.NewPacket(k, gdflow.Data)
	p.Seq, p.Size, p.Ack = seq, size, f.ackOf(k)
	f.send(i, p)
}

// ackOf returns the acknowledgement number with which the caller confirms that its
// upstream accepted the flow.
func (f *fleet) ackOf(k gdflow.Key) uint32 {
	for _, ag := range f.agents {
		if n, ok := ag.held[k]; ok {
			return n + 1
		}
	}
	return 1
}

func (f *fleet) act(i int, e *entry, actions []gddispatch.Action) {
	for _, a := range actions {
		switch a.Verb {
		case gddispatch.Reset:
			f.resets[a.Key] = a.Reason
			f.latestReset = max(f.latestReset, f.now.Sub(f.opened[a.Key]))
		case gddispatch.Drop:
			if a.Reason == gddispatch.NotFound {
				f.dropped[a.Key] = a.Missing
			}
		case gddispatch.Query:
			f.messages++
			to, header, keys := a.To, a.Header, a.Keys
			if d, ok := e.link.transmit(f.now, len(keys)*gdflow.KeySize); ok {
				f.after(f.hopTo(i, to)+d, func() { f.query(i, e, to, header, keys) })
			}
		case gddispatch.Forward:
			f.forward(i, e, a)
		case gddispatch.Verify:
			f.verify(i, e)
		}
	}
	f.scheduleEntryTick(i, e)
}

// scheduleEntryTick calls the entry host's Tick when it is due.
func (f *fleet) scheduleEntryTick(i int, e *entry) {
	next := e.core.NextTick()
	if !next.IsZero() && (!e.nextTick.After(f.now) || next.Before(e.nextTick)) {
		e.nextTick = next
		f.after(max(next.Sub(f.now), 0), func() {
			if !e.down {
				f.confirm(e)
				f.act(i, e, e.core.Tick(f.now))
			}
		})
	}
}

// verify compares the view of an entry host with the source, which it equals, unless another
// verification is scheduled.
func (f *fleet) verify(i int, e *entry) {
	const interval, call = 20 * time.Millisecond, 5 * time.Millisecond
	if e.verifies || f.unconfirmed && f.verifies == nil {
		return
	}
	e.verifies = true
	f.after(max(e.verifyAt.Sub(f.now), 0), func() {
		e.verifies, e.verifyAt = false, f.now.Add(call+interval)
		requested := f.now
		f.after(call, func() {
			switch {
			case e.down:
			case f.verifies != nil:
				f.act(i, e, f.verifies(e, requested))
			default:
				f.act(i, e, e.core.VerifyView(f.now, requested))
			}
		})
	})
}

// forward sends a packet to an agent.
func (f *fleet) forward(i int, e *entry, a gddispatch.Action) {
	f.messages++
	if a.Reason == gddispatch.Spilled {
		f.spills[a.Spill.Cause]++
	}
	p, h, to := f.packet(a.Packet), a.Header, a.To
	d, ok := time.Duration(0), true
	if a.Reason != gddispatch.Known || a.PacketSize == 0 { // the others are paced
		d, ok = e.link.transmit(f.now, p.Size)
	}
	if ok {
		f.after(f.hopTo(i, to)+d, func() { f.arrive(entryAt(i), to, h, p) })
	}
}

// agentOn returns the agent on the host. Messages to it are sent to its host, whatever the
// port of the upstream's address.
func (f *fleet) agentOn(host gdflow.Address) *agent {
	return f.agents[host.WithPort(upstreamAt(0).Port())]
}

// misdelivered returns how many packets have reached an upstream that does not hold
// their flow.
func (f *fleet) misdelivered() int {
	n := 0
	for _, ag := range f.agents {
		for _, m := range ag.misdelivered {
			n += m
		}
	}
	return n
}

func (f *fleet) served() int {
	n := 0
	for _, ag := range f.agents {
		n += ag.requests
	}
	return n
}
