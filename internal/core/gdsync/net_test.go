package gdsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// deployment returns a deployment with the given numbers of services and of
// upstreams in each. A different salt changes the last service only.
func deployment(revision uint64, services, upstreams, salt int) config.Deployment {
	d := config.Deployment{
		Name: "rejilla-norte", Revision: revision,
		TokenKeys: []config.TokenKey{{Phase: 0, Name: "2026-12"}},
		Domains:   []config.Domain{{Name: "bilbao"}, {Name: "getxo"}},
	}
	id := 0
	for i := range services {
		s := config.Service{
			Name: fmt.Sprintf("service-%d", i), ID: uint16(i + 1), Priority: 1,
			Address: fmt.Sprintf("192.0.%d.%d:443", i/250, i%250+1),
		}
		if i == services-1 {
			s.DrainSeconds = 1 + salt
		}
		for j := range upstreams {
			id++
			s.Upstreams = append(s.Upstreams, config.Upstream{
				Name: fmt.Sprintf("service-%d-%d", i, j), ID: uint32(id), Domain: "bilbao", Slots: 3,
				Agent: agentAddress(id),
			})
		}
		d.Services = append(d.Services, s)
	}
	return d
}

func agentAddress(id int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", id/60000, id/240%250, id%240+1)
}

func split(d config.Deployment) map[string][]byte {
	values, err := config.Split(d)
	if err != nil {
		panic(err)
	}
	m := map[string][]byte{}
	for _, v := range values {
		m[v.Key()] = v.Data()
	}
	return m
}

// fakePlatform is the read-only platform. It counts calls.
type fakePlatform struct {
	values map[string][]byte
	// old are the values of a stale read, which happens with probability stale.
	old   map[string][]byte
	stale float64
	slow  time.Duration // added to each call
	down  bool
	calls int
	// after is called after each call and may change the platform.
	after func(keys []string)
}

func (p *fakePlatform) publish(d config.Deployment) {
	p.old = p.values
	p.values = split(d)
}

func (p *fakePlatform) read(rnd *rand.Rand, keys []string, down bool) ReadResult {
	var r ReadResult
	values := p.values
	if p.old != nil && rnd.Float64() < p.stale {
		values = p.old
	}
	for _, k := range keys {
		p.calls++
		if down {
			return ReadResult{Err: errors.New("platform: connection refused")}
		}
		r.Values = append(r.Values, PlatformValue{Key: k, Data: values[k]})
	}
	if p.after != nil {
		p.after(keys)
	}
	return r
}

// fakeNet runs cores in virtual time on a network that delays and loses
// messages and can be partitioned.
type fakeNet struct {
	rnd                 *rand.Rand
	setup               func(c *Core) // applied to each new core
	now                 time.Time
	queue               eventQueue
	cores               []*Core
	index               map[string]int
	onPull              func(i int) // called for each pull of a process
	encoded             map[[2]gdconf.Version]int
	spans               map[int]int // the range of the ring that a broadcast tree assigned to a process
	hosts               []Member
	hostList            []Member // the platform's list of hosts, if it is out of date
	platform            *fakePlatform
	loss                float64
	cut                 func(a, b int) bool
	platformUnreachable func(i int) bool         // processes that cannot reach the platform
	onActivated         func(i int, next *State) // called for each activated configuration
	// highest is the highest version that has been active at each process.
	highest  []gdconf.Version
	since    []time.Time
	reverted int
	rejected int
	messages int
	bytes    int
	wake     []time.Time
	seq      int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	agents = 8 // processes that are agents of the default deployment
	// smallMessage and newConnection are sizes in bytes on the wire, rounded
	// results of BenchmarkDigest of package gdpeer.
	smallMessage  = 90
	newConnection = 4100
	minHop        = 5 * time.Millisecond
	maxHop        = 25 * time.Millisecond
)

// newNet returns a network on which all processes start at once.
func newNet(seed uint64, size int) *fakeNet {
	n := coldNet(seed, size)
	for i := range size {
		n.start(i)
	}
	return n
}

// warmNet returns a network whose processes know each other and have the
// deployment active.
func warmNet(seed uint64, size int, d config.Deployment, setup func(*Core)) *fakeNet {
	n := coldNet(seed, size)
	n.setup = setup
	n.platform.publish(d)
	idx, err := config.ParseIndex(n.platform.values[config.IndexKey])
	if err != nil {
		panic(err)
	}
	var entries []*entry
	for _, row := range idx.Services {
		e, err := newEntry(row.Name, n.platform.values[config.ServiceKey(row.Name)])
		if err != nil {
			panic(err)
		}
		entries = append(entries, e)
	}
	s, err := newState(idx, entries)
	if err != nil {
		panic(err)
	}
	for i := range size {
		c := n.newCore(i)
		c.Start(n.now)
		c.HostsRead(n.now, n.listed())
		c.activate(n.now, "peer", s)
		n.activated(i, s)
		n.do(i, c, nil)
	}
	return n
}

func coldNet(seed uint64, size int) *fakeNet {
	n := &fakeNet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		index: map[string]int{}, encoded: map[[2]gdconf.Version]int{}, platform: &fakePlatform{},
	}
	for i := range size {
		name := fmt.Sprintf("spare-%05d", i)
		if i < agents {
			name = fmt.Sprintf("service-%d-%d", i/4, i%4) // as in deployment(_, 2, 4, _)
		}
		n.index[name] = i
		n.hosts = append(n.hosts, NewMember(name, agentAddress(i+1)))
	}
	for range size {
		n.cores = append(n.cores, nil)
		n.highest = append(n.highest, gdconf.Version{})
		n.since = append(n.since, time.Time{})
		n.wake = append(n.wake, time.Time{})
	}
	return n
}

// start starts a process, or replaces it by a new one.
func (n *fakeNet) start(i int) {
	c := n.newCore(i)
	n.after(0, func() { n.do(i, c, c.Start(n.now)) })
}

func (n *fakeNet) newCore(i int) *Core {
	c := &Core{Self: n.hosts[i].Name(), Rand: rand.New(rand.NewPCG(n.rnd.Uint64(), uint64(i)))}
	for range 3 {
		c.Seeds = append(c.Seeds, n.hosts[n.rnd.IntN(len(n.hosts))])
	}
	if n.setup != nil {
		n.setup(c)
	}
	n.cores[i] = c
	n.highest[i] = gdconf.Version{}
	n.wake[i] = time.Time{}
	return c
}

func (n *fakeNet) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.now.Add(d), seq: n.seq, run: run})
}

func (n *fakeNet) hop() time.Duration {
	return minHop + time.Duration(n.rnd.Int64N(int64(maxHop-minHop)))
}

// send delivers a message to the process with the given name, if it is
// reachable.
func (n *fakeNet) send(from int, to string, size int, deliver func(i int, c *Core) []Action) {
	n.messages++
	n.bytes += size
	j, ok := n.index[to]
	if !ok || n.rnd.Float64() < n.loss || (n.cut != nil && n.cut(from, j)) {
		return
	}
	n.after(n.hop(), func() { n.do(j, n.cores[j], deliver(j, n.cores[j])) })
}

func (n *fakeNet) do(i int, c *Core, acts []Action) {
	if n.cores[i] != c {
		return // replaced in the meantime
	}
	for _, a := range acts {
		n.act(i, c, a)
	}
	next := c.NextTick()
	if !next.IsZero() && (n.wake[i].IsZero() || next.Before(n.wake[i]) || !n.wake[i].After(n.now)) {
		n.wake[i] = next
		n.after(next.Sub(n.now), func() { n.do(i, c, c.Tick(n.now)) })
	}
}

func (n *fakeNet) act(i int, c *Core, a Action) {
	self := n.hosts[i].Name()
	switch a := a.(type) {
	case ReadPlatform:
		n.after(n.hop(), func() {
			r := n.platform.read(n.rnd, a.Keys, n.isDown(i))
			wait := time.Duration(len(a.Keys)-1)*a.MinInterval + time.Duration(len(a.Keys))*n.platform.slow
			n.after(wait, func() { n.do(i, c, c.PlatformRead(n.now, r)) })
		})
	case ReadHosts:
		n.platform.calls++
		if n.isDown(i) {
			c.HostsFailed(n.now, errors.New("platform: connection refused"))
			return
		}
		n.after(n.hop(), func() { n.do(i, c, c.HostsRead(n.now, n.listed())) })
	case Push:
		n.push(i, a.To.Name(), a.Update)
	case Pull:
		if n.onPull != nil {
			n.onPull(i)
		}
		n.send(i, a.From.Name(), smallMessage, func(j int, d *Core) []Action {
			if u, ok := d.UpdateSince(a.Have); ok {
				n.push(j, self, u)
			}
			return nil
		})
	case Digest:
		sentAt := n.now
		n.send(i, a.To.Name(), smallMessage, func(j int, d *Core) []Action {
			v := d.State().Version()
			peer := n.hosts[j].Name()
			n.do(j, d, d.DigestReceived(n.now, n.hosts[i], a.Version))
			n.send(j, self, smallMessage, func(_ int, c *Core) []Action { return c.DigestReplyReceived(n.now, sentAt, peer, v) })
			return nil
		})
	case AnnounceLease:
		n.send(i, a.To.Name(), smallMessage+newConnection, func(_ int, d *Core) []Action { return d.LeaseReceived(n.now, self, a.Lease) })
	case Activated:
		n.activated(i, a.State)
	case Rejected:
		n.rejected++
	}
}

// listed returns the platform's list of hosts.
func (n *fakeNet) listed() []Member {
	if n.hostList != nil {
		return n.hostList
	}
	return n.hosts
}

func (n *fakeNet) isDown(i int) bool {
	return n.platform.down || (n.platformUnreachable != nil && n.platformUnreachable(i))
}

// updateBytes returns the bytes on the wire of an update over a new connection.
func (n *fakeNet) updateBytes(u Update) int {
	key := [2]gdconf.Version{u.Version(), u.Base()}
	if _, ok := n.encoded[key]; !ok {
		data, err := Encode(u)
		if err != nil {
			panic(err)
		}
		n.encoded[key] = len(data)
	}
	return newConnection + smallMessage + n.encoded[key]
}

func (n *fakeNet) push(from int, to string, u Update) {
	self := n.hosts[from].Name()
	n.send(from, to, n.updateBytes(u), func(_ int, d *Core) []Action { return d.UpdateReceived(n.now, self, u) })
}

func (n *fakeNet) activated(i int, s *State) {
	v := s.Version()
	if v.Compare(n.highest[i]) <= 0 {
		n.reverted++
	}
	n.highest[i] = v
	n.since[i] = n.now
	if n.onActivated != nil {
		n.onActivated(i, s)
	}
}

// run advances the virtual time.
func (n *fakeNet) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// agreed returns the number of processes at which the revision is active.
func (n *fakeNet) agreed(revision uint64) int {
	count := 0
	for _, v := range n.highest {
		if v.Revision() == revision {
			count++
		}
	}
	return count
}

// activationSpread returns the time between the first and the last activation
// of the revision.
func (n *fakeNet) activationSpread(revision uint64) time.Duration {
	first, last := n.now, time.Time{}
	for i, v := range n.highest {
		if v.Revision() != revision {
			continue
		}
		if n.since[i].Before(first) {
			first = n.since[i]
		}
		if n.since[i].After(last) {
			last = n.since[i]
		}
	}
	return last.Sub(first)
}
