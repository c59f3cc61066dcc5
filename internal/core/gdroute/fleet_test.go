package gdroute_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

// TestMain fixes the seed so that the result is reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "4", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// process is the common state of a balancer and an agent.
type process struct {
	view    *gdconf.View
	keyring *gdtoken.Keyring
	paused  bool
	// unconfirmed is true from the end of a pause until the view is confirmed.
	unconfirmed bool
}

func (p *process) silent() bool { return p.paused || p.unconfirmed }

// older reports whether the process has a view older than v.
func (p *process) older(v *gdconf.View) bool {
	return p.view == nil || p.view.Version().Compare(v.Version()) < 0
}

type entry struct {
	process
	core gdroute.Balancer
}

type agent struct {
	process
	core *gdroute.PacketFilter
}

// flow is one flow of a caller, with the address at which it was opened.
type flow struct {
	service     gdconf.ServiceID
	address     netip.AddrPort
	caller      netip.AddrPort
	cid         []byte
	token       gdtoken.Token
	key         config.TokenKey
	sealed      bool
	home        gdconf.UpstreamID
	incarnation uint32
	ended       bool
}

// cluster holds the balancers and packet filters of two services. It simulates the
// adapters: it looks up the service of an address, opens tokens, and passes packets
// from core to core.
type cluster struct {
	now      time.Time
	latest   config.Deployment
	views    []*gdconf.View
	keyrings map[*gdconf.View]*gdtoken.Keyring
	entries  []*entry
	agents   map[gdconf.UpstreamID]*agent
	flows    []*flow
	sequence uint32
}

const (
	clusterServices  = 2
	clusterUpstreams = 5
	clusterBalancers = 3
	firstIncarnation = 1
)

func newCluster() *cluster {
	c := &cluster{now: start, agents: map[gdconf.UpstreamID]*agent{}, keyrings: map[*gdconf.View]*gdtoken.Keyring{}}
	c.publish(gdfixture.Deployment(clusterServices, clusterUpstreams))
	for range clusterBalancers {
		c.entries = append(c.entries, c.newEntry(c.newest()))
	}
	return c
}

func (c *cluster) newest() *gdconf.View { return c.views[len(c.views)-1] }

// publish makes a deployment the newest one. Only new agents get it at once.
func (c *cluster) publish(d config.Deployment) {
	d.Revision = uint64(len(c.views)) + 1
	c.latest = d
	c.views = append(c.views, gdfixture.View(d))
	for _, s := range d.Services {
		for _, u := range s.Upstreams {
			if id := gdconf.UpstreamID(u.ID); c.agents[id] == nil {
				c.agents[id] = c.newAgent(id, firstIncarnation)
			}
		}
	}
}

func keyringOf(v *gdconf.View) *gdtoken.Keyring {
	var keys []gdtoken.Key
	for _, k := range v.Deployment().TokenKeys {
		secret := fmt.Sprintf("%-16.16s", k.Name)
		keys = append(keys, gdtoken.NewKey(k.Phase, []byte(secret)))
	}
	keyring, err := gdtoken.NewKeyring(keys)
	if err != nil {
		panic(err)
	}
	return keyring
}

func (c *cluster) newEntry(v *gdconf.View) *entry {
	e := &entry{}
	c.apply(e, v)
	return e
}

func (c *cluster) newAgent(id gdconf.UpstreamID, incarnation uint32) *agent {
	a := &agent{core: &gdroute.PacketFilter{Self: id, Incarnation: incarnation, MaxFlows: 1000, IdleTimeout: time.Hour}}
	c.apply(a, c.newest())
	return a
}

// member is an entry or an agent.
type member interface {
	state() *process
	set(now time.Time, v *gdconf.View)
	block(bool)
}

func (p *process) state() *process { return p }

func (e *entry) set(now time.Time, v *gdconf.View) { e.core.SetView(now, v) }

func (a *agent) set(_ time.Time, v *gdconf.View) { a.core.SetView(v) }

func (e *entry) block(b bool) { blockWhen(b, e.core.Block, e.core.Unblock) }

func (a *agent) block(b bool) { blockWhen(b, a.core.Block, a.core.Unblock) }

func blockWhen(b bool, block, unblock func()) {
	if b {
		block()
		return
	}
	unblock()
}

// apply sets the view of a process.
func (c *cluster) apply(m member, v *gdconf.View) {
	p := m.state()
	if c.keyrings[v] == nil {
		c.keyrings[v] = keyringOf(v)
	}
	p.view, p.keyring = v, c.keyrings[v]
	m.set(c.now, v)
}

// members returns all processes in a fixed order.
func (c *cluster) members() []member {
	var all []member
	for _, e := range c.entries {
		all = append(all, e)
	}
	for s := range clusterServices {
		for u := range maxClusterUpstreams {
			if a := c.agents[gdconf.UpstreamID((s+1)*100+u+1)]; a != nil {
				all = append(all, a)
			}
		}
	}
	return all
}

// packet converts a datagram to a packet, as the adapters do.
func (p *process) packet(f *flow, s gdconf.ServiceID, opening bool, hops uint8) gdroute.Packet {
	if t, ok := gdtoken.NewOpener(p.keyring).Open(f.cid); ok {
		return gdroute.NewPacket(s, 0).WithToken(t).WithHops(hops).WithAddress(f.address)
	}
	packet := gdroute.NewPacket(s, gdroute.NewFlowKey(f.caller, f.cid)).WithHops(hops).WithAddress(f.address)
	if opening {
		packet = packet.Opening()
	}
	return packet
}

// trace records the path of one packet.
type trace struct {
	verdict gdroute.Verdict
	reason  gdroute.Reason
	last    *agent
	service gdconf.ServiceID
	seen    []*process
}

// send passes a packet on, from a balancer to the final decision. At each process it
// checks the conditions that must hold regardless of the other processes' views.
func (c *cluster) send(t *rapid.T, e *entry, f *flow, opening bool) trace {
	tr := trace{seen: []*process{&e.process}}
	s, ok := e.view.ServiceByAddress(f.address)
	if !ok || e.paused {
		return tr // the balancer has no socket at this address, or does not run
	}
	tr.service = s.ID()
	d := e.core.Route(c.now, e.packet(f, s.ID(), opening, 0))
	checkSilent(t, &e.process, d)
	for hops := uint8(0); d.Verdict() == gdroute.Forward; hops++ {
		if hops > gdroute.MaxHops {
			t.Fatalf("packet was forwarded %d times", hops)
		}
		checkForward(t, tr.seen[len(tr.seen)-1], s.ID(), d)
		a := c.agents[d.Upstream().ID()]
		tr.last = a
		tr.seen = append(tr.seen, &a.process)
		if a.paused {
			return trace{seen: tr.seen}
		}
		d = a.core.Check(c.now, a.packet(f, s.ID(), opening, hops))
		checkSilent(t, &a.process, d)
	}
	tr.verdict, tr.reason = d.Verdict(), d.Reason()
	if tr.verdict == gdroute.Accept {
		checkAccept(t, tr, f)
	}
	return tr
}

// checkSilent fails if a process that has not confirmed its view does not drop the
// packet.
func checkSilent(t *rapid.T, p *process, d gdroute.Decision) {
	if p.unconfirmed && d.Verdict() != gdroute.Drop {
		t.Fatalf("a process that has not confirmed its view decided %v", d.Verdict())
	}
}

// checkForward fails if a process forwards a packet into a failure domain that is
// out in its view, or to another service.
func checkForward(t *rapid.T, p *process, s gdconf.ServiceID, d gdroute.Decision) {
	u, ok := p.view.Upstream(d.Upstream().ID())
	if !ok || u.DomainOut() || u.Service().ID() != s {
		t.Fatalf("packet of service %d was forwarded to %s", s, d.Upstream().Name())
	}
}

// checkAccept fails unless the accepting agent belongs to the service that owns the
// address in its own view, its domain is in service, and no other agent holds the
// flow.
func checkAccept(t *rapid.T, tr trace, f *flow) {
	u, _ := tr.last.view.Upstream(tr.last.core.Self)
	owner, ok := tr.last.view.ServiceByAddress(f.address)
	if u.Service().ID() != tr.service || ok && owner.ID() != tr.service {
		t.Fatalf("agent of service %d accepted a packet of address %v", u.Service().ID(), f.address)
	}
	if u.DomainOut() {
		t.Fatalf("agent of %s accepted a packet while its domain is out", u.Name())
	}
	if f.home != 0 && (tr.last.core.Self != f.home || tr.last.core.Incarnation != f.incarnation) {
		t.Fatalf("flow of %d was accepted by %d", f.home, tr.last.core.Self)
	}
	if f.home != 0 && tr.service != f.service {
		t.Fatalf("flow of service %d was accepted by service %d", f.service, tr.service)
	}
}
