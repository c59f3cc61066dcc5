package gdtrace

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

var update = flag.Bool("update", false, "rewrite the traces in testdata")

// traces are the committed traces and the seeds of their generators.
var traces = []struct {
	name string
	seed uint64
}{{"rejilla-norte", 41}, {"kiosks", 42}}

const (
	stepTime = 20 * time.Millisecond
	duration = 24 * time.Second
	// balancers is the number of balancers, which come first in the header.
	balancers = 2
	// warmLatency and coldLatency are the latencies of a warm and of a cold
	// upstream.
	warmLatency = 30 * time.Millisecond
	coldLatency = 400 * time.Millisecond
)

// TestWriteTraces rewrites the traces from the examples if -update is set.
// Otherwise, it checks that the generator reproduces the committed bytes from
// the deployment in the committed trace, which may be older than the example.
func TestWriteTraces(t *testing.T) {
	for _, tr := range traces {
		data := generate(t, tr.name, tr.seed, deploymentText(t, tr.name))
		require.Less(t, len(data), 200_000, "%s", tr.name)
		if *update {
			require.NoError(t, os.WriteFile(tracePath(tr.name), data, 0o644))
		}
		committed, err := os.ReadFile(tracePath(tr.name))
		require.NoError(t, err)
		require.True(t, bytes.Equal(committed, data), "%s: run with -update and review the changes", tr.name)
	}
}

func deploymentText(t *testing.T, name string) string {
	if *update {
		text, err := os.ReadFile("../../../examples/" + name + "/deployment.toml")
		require.NoError(t, err)
		return string(text)
	}
	h, _ := read(t, name)
	return h.Deployment
}

func tracePath(name string) string { return "testdata/" + name + ".trace" }

// generator plays a scenario on new cores and records it.
type generator struct {
	*testing.T
	*rand.Rand
	w             *Writer
	p             *Player
	h             Header
	d             config.Deployment
	now           time.Duration
	next          uint64
	packetFilters map[gdconf.UpstreamID]int
	dedups        map[gdconf.UpstreamID]int
	admission     int
	flows         []gdroute.Packet
	finish        map[uint64]time.Duration // end of each request at the admission core
	keys          []string
}

func generate(t *testing.T, name string, seed uint64, text string) []byte {
	g := &generator{
		T: t, Rand: rand.New(rand.NewPCG(seed, 0)), finish: map[uint64]time.Duration{},
		packetFilters: map[gdconf.UpstreamID]int{}, dedups: map[gdconf.UpstreamID]int{},
	}
	var err error
	g.d, err = config.Parse([]byte(text))
	require.NoError(t, err)
	g.h = Header{Name: name, Start: time.Unix(1_800_000_000, 0).UnixNano(), Deployment: text}
	g.processes(seed)
	var out bytes.Buffer
	g.p, err = NewPlayer(g.h)
	require.NoError(t, err)
	g.w, err = NewWriter(&out, g.h)
	require.NoError(t, err)
	g.play()
	return out.Bytes()
}

// processes adds two balancers, all packet filters, one admission core, and the
// deduplication cores of the first service.
func (g *generator) processes(seed uint64) {
	add := func(p Process) int {
		g.h.Processes = append(g.h.Processes, p)
		return len(g.h.Processes) - 1
	}
	for _, name := range []string{"balancer-1", "balancer-2"} {
		add(Process{Name: name, Role: RoleBalancer})
	}
	for _, s := range g.d.Services {
		for _, u := range s.Upstreams {
			id := gdconf.UpstreamID(u.ID)
			g.packetFilters[id] = add(Process{Name: u.Name + "-door", Role: RolePacketFilter, Upstream: id, Incarnation: 1})
		}
	}
	us := g.d.Services[0].Upstreams
	self, peer := gdconf.UpstreamID(us[0].ID), gdconf.UpstreamID(us[1].ID)
	g.admission = add(Process{
		Name: us[0].Name + "-admission", Role: RoleAdmission, Upstream: self, Seed: seed,
		Slots: us[0].Slots, Peers: []gdconf.UpstreamID{peer},
	})
	for _, u := range us {
		id := gdconf.UpstreamID(u.ID)
		g.dedups[id] = add(Process{Name: u.Name + "-once", Role: RoleAtMostOnce, Upstream: id, Incarnation: 1, Seed: seed})
	}
}

// apply applies one event and records it with its outcomes.
func (g *generator) apply(process int, e Event) []Outcome {
	e.At, e.Process = g.now, process
	out, err := g.p.Apply(e)
	require.NoError(g, err)
	g.record(e, out)
	return out
}

func (g *generator) record(e Event, out []Outcome) {
	e.Outcomes = out
	require.NoError(g, g.w.Write(e))
}

// play runs the scenario: an upstream leaves, a failure domain goes out of
// service and comes back while the second balancer is paused, and the upstream
// becomes cold.
func (g *generator) play() {
	g.activate(func(int) bool { return true })
	at := map[time.Duration]func(){
		4 * time.Second:  func() { g.publish(func() { g.d.Services[0].Upstreams[0].State = config.StateLeaving }) },
		5 * time.Second:  func() { g.apply(g.admission, Event{Kind: KindMode, Mode: "leaving"}) },
		7 * time.Second:  func() { g.publish(func() { g.d.Services[0].Upstreams[0].State = config.StateIn }) },
		8 * time.Second:  func() { g.apply(g.admission, Event{Kind: KindMode, Mode: "serving"}) },
		9 * time.Second:  func() { g.apply(balancers, Event{Kind: KindBusy, On: true}) },
		10 * time.Second: func() { g.publish(func() { g.d.Domains[1].State = config.StateOut }) },
		13 * time.Second: func() { g.apply(1, Event{Kind: KindBlock}) },
		14 * time.Second: func() { g.activate(func(i int) bool { return i != 1 }) },
		15 * time.Second: func() {
			g.activate(func(i int) bool { return i == 1 })
			g.apply(1, Event{Kind: KindUnblock})
		},
		18 * time.Second: func() { g.publish(func() { g.d.Domains[1].State = config.StateIn }) },
		20 * time.Second: func() { g.activate(func(int) bool { return true }) },
	}
	for ; g.now < duration; g.now += stepTime {
		if f := at[g.now]; f != nil {
			f()
		}
		g.serve()
		if g.now%(8*stepTime) == 0 {
			g.packets()
		}
		if g.now%(14*stepTime) == 0 {
			g.sendKeyed()
		}
	}
}

// publish changes the configuration and activates it at some of the processes.
func (g *generator) publish(change func()) {
	g.d.Revision++
	change()
	var text bytes.Buffer
	require.NoError(g, config.Print(&text, g.d))
	g.apply(0, Event{Kind: KindConfiguration, Deployment: text.String()})
	g.activate(func(int) bool { return g.IntN(2) == 0 })
}

func (g *generator) activate(who func(int) bool) {
	for i, p := range g.h.Processes {
		if p.Role != RoleAdmission && who(i) {
			g.apply(i, Event{Kind: KindView, Revision: g.d.Revision})
		}
	}
}

// packets opens a flow and sends packets of some of the open flows.
func (g *generator) packets() {
	s := g.d.Services[g.IntN(len(g.d.Services))]
	p := gdroute.NewPacket(gdconf.ServiceID(s.ID), gdroute.FlowKey(g.Uint64()))
	if home := g.deliver(p.Opening()); home != 0 {
		if g.IntN(2) == 0 {
			p = p.WithToken(gdtoken.New(p.Service(), home, 1, uint32(len(g.flows))))
		}
		g.flows = append(g.flows, p)
	}
	if n := len(g.flows); n > 0 && g.IntN(8) == 0 {
		i := g.IntN(n)
		g.end(g.flows[i])
		g.flows = slices.Delete(g.flows, i, i+1)
	}
	for range min(2, len(g.flows)) {
		g.deliver(g.flows[g.IntN(len(g.flows))])
	}
}

// end ends a flow at all agents of its service.
func (g *generator) end(p gdroute.Packet) {
	for _, s := range g.d.Services {
		for _, u := range s.Upstreams {
			if _, hasToken := p.Token(); !hasToken && gdconf.ServiceID(s.ID) == p.Service() {
				g.apply(g.packetFilters[gdconf.UpstreamID(u.ID)], Event{Kind: KindEnd, Packet: NewPacket(p)})
			}
		}
	}
}

// deliver forwards a packet until it is accepted or dropped, and returns the
// agent that accepted it, or 0.
func (g *generator) deliver(p gdroute.Packet) gdconf.UpstreamID {
	at := g.IntN(balancers)
	for hops := uint8(0); ; hops++ {
		o := g.apply(at, Event{Kind: KindPacket, Packet: NewPacket(p)})[0]
		switch o.Action {
		case "accept":
			return g.h.Processes[at].Upstream
		case "forward":
			at, p = g.packetFilters[o.Upstream], p.WithHops(hops)
		default:
			return 0
		}
	}
}

// serve sends requests to the admission core and ends those that are due.
func (g *generator) serve() {
	var out []Outcome
	for id := uint64(1); id <= g.next; id++ {
		if due, ok := g.finish[id]; ok && due <= g.now {
			delete(g.finish, id)
			out = append(out, g.apply(g.admission, Event{Kind: KindFinish, Finish: &Finish{ID: id, Result: "ok", Started: true}})...)
		}
	}
	if g.IntN(3) == 0 {
		g.next++
		r := &Request{ID: g.next, Priority: 1 + g.IntN(3), Deadline: g.now + time.Second, Established: g.IntN(2) == 0}
		out = append(out, g.apply(g.admission, Event{Kind: KindRequest, Request: r})...)
	}
	if g.now%(50*stepTime) == 0 {
		l := &PeerLoad{InFlight: g.IntN(4), Limit: 3}
		g.apply(g.admission, Event{Kind: KindPeerLoad, Peer: g.h.Processes[g.admission].Peers[0], PeerLoad: l})
	}
	latency := warmLatency
	if g.now > duration/2 && g.now < duration/2+3*time.Second {
		latency = coldLatency
	}
	if len(g.finish) > 0 {
		out = append(out, g.apply(g.admission, Event{Kind: KindTick})...)
	}
	for _, o := range out {
		if o.Action == "start" {
			g.finish[o.Request] = g.now + latency
		}
	}
}

// sendKeyed sends a request with a new or an earlier key to a random agent, and
// exchanges the resulting queries with the peers.
func (g *generator) sendKeyed() {
	us := g.d.Services[0].Upstreams
	agent := func() int { return g.dedups[gdconf.UpstreamID(us[g.IntN(len(us))].ID)] }
	service := gdconf.ServiceID(g.d.Services[0].ID)
	for _, u := range us {
		g.apply(g.dedups[gdconf.UpstreamID(u.ID)], Event{Kind: KindTick})
	}
	switch g.IntN(4) {
	case 0:
		out := g.apply(agent(), Event{Kind: KindIssue, Request: &Request{Service: service}})
		g.keys = append(g.keys, out[0].Key)
	case 1:
		g.keys = append(g.keys, g.stamped())
	}
	if len(g.keys) == 0 {
		return
	}
	g.next++
	key := g.keys[max(0, len(g.keys)-1-g.IntN(4))]
	g.arrive(agent(), Request{ID: g.next, Service: service, Key: key, Digest: 1})
}

// stamped returns a UUID of version 7 with the current time.
func (g *generator) stamped() string {
	ms := uint64(g.p.start.Add(g.now).UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, g.IntN(1<<12), g.IntN(1<<12), g.Int64N(1<<48))
}

// arrive sends a request to a deduplication core.
func (g *generator) arrive(at int, r Request) {
	actions := g.dedup(at).Arrive(g.p.start.Add(g.now), r.dedupRequest())
	g.record(Event{At: g.now, Process: at, Kind: KindRequest, Request: &r}, DedupOutcomes(actions))
	g.act(at, r, actions)
}

func (g *generator) dedup(at int) *dedupCore { return g.p.cores[at].(*dedupCore) }

// act performs the actions of a deduplication core for a request.
func (g *generator) act(at int, r Request, actions []gddedup.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case gddedup.Run:
			g.run(at, r)
		case gddedup.Relay:
			relayed := r
			relayed.Hops++
			g.arrive(g.dedups[a.Home], relayed)
			g.apply(at, Event{Kind: KindRelayed, Finish: &Finish{ID: r.ID, Result: "ok"}})
		case gddedup.SendQuery:
			g.query(at, r, a)
		case gddedup.SendRelease:
			g.apply(g.dedups[a.Peer], Event{Kind: KindRelease, Query: &a.Query})
		case gddedup.SendNotice:
			g.apply(g.dedups[a.Peer], Event{Kind: KindNotice, Notice: &a.Notice})
		}
	}
}

// run ends a run, with an unknown outcome in one of four cases.
func (g *generator) run(at int, r Request) {
	f := &Finish{ID: r.ID, Result: "unknown"}
	if g.IntN(4) > 0 {
		f.Result, f.Response = "done", &gddedup.StoredResponse{Status: 200}
	}
	actions := g.dedup(at).Finished(g.p.start.Add(g.now), r.ID, f.dedupOutcome())
	g.record(Event{At: g.now, Process: at, Kind: KindFinish, Finish: f}, DedupOutcomes(actions))
	g.act(at, r, actions)
}

func (g *generator) query(at int, r Request, a gddedup.SendQuery) {
	now, peer := g.p.start.Add(g.now), g.dedups[a.Peer]
	reply := g.dedup(peer).QueryReceived(now, a.Query)
	g.record(Event{At: g.now, Process: peer, Kind: KindQuery, Query: &a.Query}, ReplyOutcomes(reply))
	actions := g.dedup(at).ReplyReceived(now, r.ID, a.Peer, reply)
	e := Event{At: g.now, Process: at, Kind: KindReply, Request: &Request{ID: r.ID}, Peer: a.Peer, Reply: &reply}
	g.record(e, DedupOutcomes(actions))
	g.act(at, r, actions)
}
