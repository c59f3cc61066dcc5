package gdguard_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
)

// The upstream of these tests has two slots and a queue of eight requests, which are
// processed in order, and refuses what comes beyond that.
const (
	simSlots = 2
	simQueue = 8
	simStep  = time.Millisecond
)

// group is callers of a route that send requests on open flows, each at the steady interval.
type group struct {
	priority  uint8
	domain    byte
	flows     int
	interval  time.Duration // 0 stands for a flow that sends nothing
	burst     time.Duration // the interval during the burst
	objective time.Duration
	timeout   time.Duration // 0 stands for a second
	work      time.Duration
	oneCaller bool // all flows are of one caller

	sent, inTime, refused int
	longest               time.Duration // that one was kept back
}

type simRequest struct {
	g    *group
	key  gdflow.Key
	seq  uint32
	at   time.Time // when the caller sent it
	ends time.Time
	done bool
	// late is set if the test may end before the request's objective.
	late bool
}

type simUpstream struct {
	t       *testing.T
	guard   gdguard.Guard
	now     time.Time
	kept    map[uint64]*simRequest
	running []*simRequest // at most simSlots of them are processed
}

func (u *simUpstream) act(actions []gdguard.Action, r *simRequest) {
	for _, a := range append([]gdguard.Action(nil), actions...) {
		switch {
		case a.Verb == gdguard.Keep:
			u.kept[a.Kept] = r
		case a.Verb == gdguard.Deliver && a.Kept != 0:
			u.serve(u.kept[a.Kept])
			delete(u.kept, a.Kept)
		case a.Verb == gdguard.Deliver && r != nil:
			u.serve(r)
		}
	}
}

func (u *simUpstream) serve(r *simRequest) {
	r.g.longest = max(r.g.longest, u.now.Sub(r.at))
	if len(u.running) >= simSlots+simQueue {
		r.g.refused++
		u.answer(r)
		return
	}
	u.running = append(u.running, r)
	u.start()
}

func (u *simUpstream) start() {
	for _, r := range u.running[:min(simSlots, len(u.running))] {
		if r.ends.IsZero() {
			r.ends = u.now.Add(r.g.work)
		}
	}
}

func (u *simUpstream) answer(r *simRequest) {
	r.done = true
	p := gdflow.NewPacket(r.key, gdflow.Data)
	p.Seq, p.Ack, p.Size = r.seq, r.seq+1, 1
	u.act(u.guard.HandleUpstreamPacket(u.now, p), nil)
}

func (u *simUpstream) step() {
	u.now = u.now.Add(simStep)
	for i := 0; i < min(simSlots, len(u.running)); i++ {
		if r := u.running[i]; !u.now.Before(r.ends) {
			u.running = append(u.running[:i], u.running[i+1:]...)
			i--
			if !r.late && u.now.Sub(r.at) <= r.g.objective {
				r.g.inTime++
			}
			u.start()
			u.answer(r)
		}
	}
	if at := u.guard.NextTick(); !at.IsZero() && !u.now.Before(at) {
		u.act(u.guard.Tick(u.now), nil)
	}
}

// play opens the groups' flows, lets them send for ten seconds, and then in their burst for four.
// Only the requests of the burst are counted, without those that are sent so late that the
// play may end before their objective.
func play(t *testing.T, groups []*group) *simUpstream {
	t.Helper()
	u := &simUpstream{t: t, now: start, kept: make(map[uint64]*simRequest)}
	u.guard = gdguard.Guard{Service: "booking", ObservedFromStart: true}
	var callers []*simCaller
	for gi, g := range groups {
		for i := range g.flows {
			ip := [4]byte{100, g.domain, byte(gi), byte(i)}
			if g.oneCaller {
				ip[3] = 0
			}
			c := &simCaller{group: g, seq: 1, last: &simRequest{done: true}, key: gdflow.NewKey(
				gdflow.AddressFrom(ip, uint16(1000+i)), gdflow.AddressFrom([4]byte{198, 18, 0, g.priority}, 443))}
			h := header(1)
			h.Status.Slots, h.Origin, h.Forced = simSlots, uint16(g.domain), true
			h.Class = gdguard.RouteClass{Objective: g.objective, Timeout: cmp.Or(g.timeout, time.Second), Priority: g.priority}
			u.guard.HandleEntryPacket(u.now, entry, h, gdflow.NewPacket(c.key, gdflow.Open))
			u.guard.HandleUpstreamPacket(u.now, gdflow.NewPacket(c.key, gdflow.Accept))
			u.now = u.now.Add(150 * time.Millisecond) // the flow counts as load until then
			callers = append(callers, c)
		}
	}
	begin := u.now
	burst := begin.Add(10 * time.Second)
	end := burst.Add(4 * time.Second)
	for ; u.now.Before(end); u.step() {
		for i, c := range callers {
			interval := c.interval
			if u.now.Equal(burst) {
				c.sent, c.inTime, c.refused, c.longest = 0, 0, 0, 0
			}
			if !u.now.Before(burst) {
				interval = c.burst
			}
			// The callers' phases differ, and a caller waits for its answer.
			phase := interval * time.Duration(i*7%len(callers)) / time.Duration(len(callers))
			if interval == 0 || !c.last.done || u.now.Sub(begin) < phase || u.now.Before(c.next) {
				continue
			}
			c.next = u.now.Add(interval)
			c.request(u, end)
		}
	}
	return u
}

// simCaller is a caller with one open flow.
type simCaller struct {
	*group
	key  gdflow.Key
	seq  uint32
	next time.Time
	last *simRequest
}

// request sends a request in a play that ends at the time.
func (c *simCaller) request(u *simUpstream, end time.Time) {
	p := gdflow.NewPacket(c.key, gdflow.Data)
	p.Seq, p.Ack, p.Size = c.seq, c.seq+1, 1
	c.seq++
	c.last = &simRequest{g: c.group, key: c.key, seq: c.seq, at: u.now, late: end.Sub(u.now) <= c.objective}
	if !c.last.late {
		c.sent++
	}
	u.act(u.guard.HandleEntryPacket(u.now, entry, header(1), p), c.last)
}

// requests returns a group of the kind that is urgent, and one of the kind that is frequent.
func urgent(domain byte, flows int, interval, burst time.Duration) *group {
	return &group{
		priority: 1, domain: domain, flows: flows, interval: interval, burst: burst,
		objective: 250 * time.Millisecond, work: 20 * time.Millisecond,
	}
}

func frequent(domain byte, flows int, interval, burst time.Duration) *group {
	return &group{
		priority: 2, domain: domain, flows: flows, interval: interval, burst: burst,
		objective: 200 * time.Millisecond, work: 15 * time.Millisecond,
	}
}

func TestBursts(t *testing.T) {
	const second, tenth, sixth = time.Second, time.Second / 10, time.Second / 6
	greedy := frequent(1, 40, 5*second, second/5)
	greedy.oneCaller = true
	tests := []struct {
		name   string
		groups []*group
		served []int // the groups of which all but three in a thousand are in time
	}{
		{"a domain's callers at ten times, 1.4 times what the slots bear", []*group{
			frequent(1, 14, second, tenth), frequent(2, 10, second, second), frequent(3, 10, second, second),
			urgent(1, 2, second, tenth), urgent(2, 2, second, second), urgent(3, 2, second, second),
		}, []int{1, 2, 3, 4, 5}},
		{"the most frequent kind at six times, 1.5 times what the slots bear", []*group{
			frequent(1, 30, second, sixth), urgent(1, 6, second, second),
		}, []int{1}},
		{"one greedy caller, 1.3 times what the slots bear", []*group{
			greedy, frequent(1, 10, second, second), frequent(2, 10, second, second), urgent(1, 6, second, second),
		}, []int{1, 2, 3}},
		{"room", []*group{frequent(1, 40, second, second), urgent(1, 10, second, second)}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, tt.groups)
			for i, g := range tt.groups {
				t.Logf("group %d: %d sent, %d in time, %d refused, kept for %s", i, g.sent, g.inTime, g.refused, g.longest)
				require.LessOrEqual(t, g.longest, g.objective/4+simStep)
			}
			for _, i := range tt.served {
				g := tt.groups[i]
				require.GreaterOrEqual(t, g.inTime*1000, g.sent*997, "group %d", i)
			}
		})
	}
}

// TestUrgentBehindLongQueue: the callers of the frequent kind send more than twice what the slots
// bear on their open flows, and the upstream's full queue takes as long as the objective of the
// urgent kind. Its requests pass the others at the agent, which still reach the upstream before
// their callers give up, and before the upstream drops an idle flow.
func TestUrgentBehindLongQueue(t *testing.T) {
	for timeout, longest := range map[time.Duration]time.Duration{time.Second: 3 * time.Second / 4, 10 * time.Second: 2 * time.Second} {
		often, posts := frequent(1, 24, time.Second, time.Second/8), urgent(1, 12, time.Second, time.Second)
		often.work, often.timeout = 30*time.Millisecond, timeout
		posts.objective = 120 * time.Millisecond
		play(t, []*group{often, posts})
		t.Logf("frequent: %d sent, %d in time; urgent: %d sent, %d in time", often.sent, often.inTime, posts.sent, posts.inTime)
		require.GreaterOrEqual(t, posts.inTime*100, posts.sent*95)
		require.LessOrEqual(t, often.longest, longest+simStep)
	}
}

// TestUrgentFlood: urgent requests take 1.5 times what the slots bear. The others still reach
// the upstream within a quarter of their objective.
func TestUrgentFlood(t *testing.T) {
	flood, other := urgent(1, 16, time.Second, time.Second/9), frequent(2, 10, time.Second, time.Second)
	play(t, []*group{flood, other})
	require.Greater(t, other.sent, 20)
	require.LessOrEqual(t, other.longest, other.objective/4+simStep)
}

// TestNewFlowsInABurst: a domain's callers send at ten times. Of new flows that come at once, the
// upstream lets more in of the other domains, so that these find room behind the first.
func TestNewFlowsInABurst(t *testing.T) {
	const second, tenth = time.Second, time.Second / 10
	accepted := func(domain byte) int {
		u := play(t, []*group{frequent(1, 8, second, tenth), frequent(2, 8, second, second)})
		h := header(1)
		h.Status.Slots, h.Origin, h.Forced = simSlots, uint16(domain), true
		h.Class = gdguard.RouteClass{Objective: 200 * time.Millisecond, Timeout: time.Second, Priority: 2}
		for n := 0; ; n++ {
			k := gdflow.NewKey(gdflow.AddressFrom([4]byte{100, domain, 9, byte(n)}, 999), gdflow.AddressFrom([4]byte{198, 18, 0, 2}, 443))
			if a := u.guard.HandleEntryPacket(u.now, entry, h, gdflow.NewPacket(k, gdflow.Open))[0]; a.Verb != gdguard.Deliver {
				require.Equal(t, gdguard.Busy, a.Reason)
				return n
			}
		}
	}
	bursting, other := accepted(1), accepted(2)
	require.Positive(t, bursting)
	require.GreaterOrEqual(t, other, bursting+simSlots)
}
