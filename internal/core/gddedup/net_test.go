package gddedup

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	testService = gdconf.ServiceID(1)
	peerTimeout = 200 * time.Millisecond

	// Results of a run at the upstream.
	runRefused = 1
	runLost    = 2
	runDone    = 3
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// testView returns a view of one service whose upstream n is in domain n%4.
func testView(revision uint64, out int, ids ...int) *gdconf.View {
	d := config.Deployment{Name: "test", Revision: revision, TokenKeys: []config.TokenKey{{Name: "k"}}}
	for i := range 4 {
		state := config.StateIn
		if i == out {
			state = config.StateOut
		}
		d.Domains = append(d.Domains, config.Domain{Name: fmt.Sprintf("domain-%d", i), State: state})
	}
	s := config.Service{Name: "booking", ID: uint16(testService), Address: "192.0.2.1:443", Priority: 1}
	for _, id := range ids {
		agent := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(id)}), 7000)
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprintf("booking-%d", id), ID: uint32(id), Domain: fmt.Sprintf("domain-%d", id%4),
			Agent: agent.String(), Slots: 3,
		})
	}
	d.Services = []config.Service{s}
	v, err := gdconf.New(d)
	if err != nil {
		panic(err)
	}
	return v
}

type event struct {
	at   time.Time
	proc *proc // nil if the event does not depend on a process
	fn   func()
}

// proc is one agent process.
type proc struct {
	core        Core
	dead        bool
	pausedUntil time.Time
	next        uint64
	reply       map[uint64]func(Action) // by request
	keys        map[uint64]*call
}

// call is one attempt of a caller.
type call struct {
	key  string
	last Action // the final response
}

// world is a small network of agents in virtual time.
type world struct {
	rnd         *rand.Rand
	now         time.Time
	queue       []event // ordered by time, then by insertion
	procs       map[gdconf.UpstreamID]*proc
	side        map[gdconf.UpstreamID]bool // side of a partition
	views       []*gdconf.View
	loss        float64
	starts      map[string]int
	responses   map[string]string // the body of the first done response, by key
	refused     map[string]bool
	faults      []string
	runner      map[string]gdconf.UpstreamID // the agent that ran a key
	fixedResult int                          // the result of each run, if not 0
}

func newWorld(seed uint64, views ...*gdconf.View) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 7)), now: epoch, views: views, loss: 0.02,
		procs: map[gdconf.UpstreamID]*proc{}, side: map[gdconf.UpstreamID]bool{},
		starts: map[string]int{}, refused: map[string]bool{}, responses: map[string]string{}, runner: map[string]gdconf.UpstreamID{},
	}
	for _, v := range views {
		s, _ := v.Service(testService)
		for _, u := range s.Upstreams() {
			if w.procs[u.ID()] == nil {
				w.startProcess(u.ID(), views[0])
			}
		}
	}
	w.run(10 * time.Second)
	return w
}

// startProcess replaces the agent's process. The replaced one keeps handling
// what it has received, unless it is marked dead.
func (w *world) startProcess(id gdconf.UpstreamID, v *gdconf.View) {
	p := &proc{reply: map[uint64]func(Action){}, keys: map[uint64]*call{}}
	p.core = Core{Self: id, Incarnation: w.rnd.Uint32(), Signer: NewSigner([]byte("secret")), Rand: w.rnd}
	w.procs[id] = p
	w.act(p, p.core.SetView(w.now, v))
	w.tick(p)
}

func (w *world) tick(p *proc) {
	w.at(p.core.NextTick(), p, func() {
		w.act(p, p.core.Tick(w.now))
		w.tick(p)
	})
}

func (w *world) at(t time.Time, p *proc, fn func()) {
	i := len(w.queue)
	for i > 0 && w.queue[i-1].at.After(t) {
		i--
	}
	w.queue = slices.Insert(w.queue, i, event{t, p, fn})
}

func (w *world) after(d time.Duration, p *proc, fn func()) { w.at(w.now.Add(d), p, fn) }

// delay returns a random one-way delay between two hosts, occasionally a much
// longer one.
func (w *world) delay() time.Duration {
	d := time.Duration(500+w.rnd.IntN(4000)) * time.Microsecond
	if w.rnd.IntN(20) == 0 {
		d *= 100
	}
	return d
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		switch {
		case e.proc != nil && e.proc.dead:
		case e.proc != nil && e.proc.pausedUntil.After(w.now):
			w.at(e.proc.pausedUntil, e.proc, e.fn)
		default:
			e.fn()
		}
	}
	w.now = end
}

// send delivers fn to the process that has the identifier at the time of
// delivery, or loses it.
func (w *world) send(from, to gdconf.UpstreamID, fn func(*proc)) {
	if w.rnd.Float64() < w.loss {
		return
	}
	w.after(w.delay(), nil, func() {
		if p := w.procs[to]; p != nil && !p.dead && w.side[from] == w.side[to] {
			w.after(0, p, func() { fn(p) })
		}
	})
}

// attempt makes a caller send a request to one agent.
func (w *world) attempt(key string, to gdconf.UpstreamID) *call {
	c := &call{key: key}
	w.after(w.delay(), nil, func() {
		if p := w.procs[to]; p != nil && !p.dead {
			w.after(0, p, func() { w.arrive(p, c, false, func(a Action) { w.checkResponse(c, a) }) })
		}
	})
	return c
}

func (w *world) arrive(p *proc, c *call, relayed bool, reply func(Action)) {
	p.next++
	p.reply[p.next] = reply
	p.keys[p.next] = c
	r := Request{ID: p.next, Service: testService, Key: c.key, Digest: 1, Relayed: relayed}
	w.act(p, p.core.Arrive(w.now, r))
}

// checkResponse checks the final response of an attempt.
func (w *world) checkResponse(c *call, a Action) {
	c.last = a
	switch a := a.(type) {
	case RespondDone:
		if first, ok := w.responses[c.key]; ok && first != string(a.Response.Body) {
			w.fault("two responses for %s", c.key)
		}
		w.responses[c.key] = string(a.Response.Body)
	case RespondNotRun:
		w.refused[c.key] = true
		if w.starts[c.key] > 0 {
			w.fault("%s refused as not-run, but it ran", c.key)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) act(p *proc, actions []Action) {
	for _, a := range actions {
		id := a.RequestID()
		switch a := a.(type) {
		case Run:
			w.after(w.delay()/4, p, func() { w.start(p, id) })
		case Relay:
			w.relay(p, a)
		case SendQuery:
			w.query(p, a)
		case SendRelease:
			w.send(p.core.Self, a.Peer, func(q *proc) { q.core.ReleaseReceived(w.now, a.Query) })
		case SendNotice:
			w.send(p.core.Self, a.Peer, func(q *proc) { w.act(q, q.core.NoticeReceived(w.now, a.Notice)) })
		case Wait:
		default:
			p.reply[id](a)
			delete(p.reply, id)
		}
	}
}

func (w *world) start(p *proc, id uint64) {
	c := p.keys[id]
	kind := cmp.Or(w.fixedResult, 1+w.rnd.IntN(20))
	if kind == runRefused {
		w.act(p, p.core.Finished(w.now, id, Outcome{Result: ResultNotRun}))
		return
	}
	p.core.Started(w.now, id)
	if w.starts[c.key]++; w.starts[c.key] > 1 {
		w.fault("%s ran %d times", c.key, w.starts[c.key])
	}
	if w.refused[c.key] {
		w.fault("%s ran after its refusal as not-run", c.key)
	}
	w.runner[c.key] = p.core.Self
	o := Outcome{Result: ResultDone, Response: StoredResponse{Status: 200, Body: fmt.Appendf(nil, "%d", w.rnd.Uint64())}}
	if kind == runLost {
		o = Outcome{Result: ResultUnknown}
	}
	d := time.Duration(5+w.rnd.IntN(300)) * time.Millisecond
	w.after(d, p, func() { w.act(p, p.core.Finished(w.now, id, o)) })
}

func (w *world) relay(p *proc, a Relay) {
	self, open := p.core.Self, true
	end := func(ok bool, response Action) {
		if !open {
			return
		}
		open = false
		w.act(p, p.core.Relayed(w.now, a.ID, ok))
		if ok {
			p.reply[a.ID](response)
			delete(p.reply, a.ID)
		}
	}
	for range 1 + w.rnd.IntN(2) { // sometimes duplicated
		w.send(self, a.Home, func(q *proc) {
			w.arrive(q, p.keys[a.ID], true, func(response Action) {
				w.send(a.Home, self, func(to *proc) {
					if to == p {
						end(true, response)
					}
				})
			})
		})
	}
	w.after(3*peerTimeout, p, func() { end(false, nil) })
}

func (w *world) query(p *proc, a SendQuery) {
	self, open := p.core.Self, true
	end := func(reply Reply) {
		if open {
			open = false
			w.act(p, p.core.ReplyReceived(w.now, a.ID, a.Peer, reply))
		}
	}
	for range 1 + w.rnd.IntN(2) { // sometimes duplicated
		w.send(self, a.Peer, func(q *proc) {
			reply := q.core.QueryReceived(w.now, a.Query)
			w.send(a.Peer, self, func(to *proc) {
				if to == p {
					end(reply)
				}
			})
		})
	}
	w.after(peerTimeout, p, func() { end(Reply{Verdict: PeerFailed}) })
}

// stamped returns a new UUID of version 7.
func (w *world) stamped() string {
	var b [identBytes]byte
	binary.BigEndian.PutUint64(b[:], uint64(w.now.UnixMilli())<<16|7<<12|uint64(w.rnd.IntN(1<<12)))
	binary.BigEndian.PutUint64(b[8:], 1<<63|w.rnd.Uint64()>>2)
	h := hex.EncodeToString(b[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

func (w *world) ids() []gdconf.UpstreamID {
	var ids []gdconf.UpstreamID
	for id := range w.procs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
