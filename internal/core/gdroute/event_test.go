package gdroute_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdfixture"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

// maxClusterUpstreams is the largest service whose agents MaxHops reaches.
const maxClusterUpstreams = 8

// TestEventsBreakNoPromise applies random events in random order while views
// reach only some of the processes, and checks that no packet is misrouted and no
// flow is lost.
//
// It does not assert what no process on a packet's path can know:
//   - Two processes that both have a view from before an address was assigned to
//     another service still serve the address for its former service.
//   - A packet is lost, not misrouted, at a process that is paused or has not
//     confirmed its view, that does not know the flow's upstream, or in whose view
//     the upstream's domain is still out. The caller's next packet reaches another
//     process.
//   - A flow is aborted when its address is assigned to another service, its agent
//     is replaced or removed, its domain is out of service, or its token's key is
//     removed: docs/OPERATIONS.md says to remove a key only after its flows.
//   - An opening packet that is sent twice, through balancers whose views differ,
//     may open the flow at two agents. Each flow here is opened once.
func TestEventsBreakNoPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"":        c.checkFlows,
			"open":    c.open,
			"apply":   c.applySome,
			"pause":   c.pause,
			"wake":    c.wake,
			"confirm": c.confirm,
			"replace": c.replace,
			"upstream-state": func(t *rapid.T) {
				c.changeUpstream(t, func(u *config.Upstream) {
					u.State = rapid.SampledFrom([]config.State{config.StateIn, config.StateLeaving}).Draw(t, "state")
				})
			},
			"upstream-weight": func(t *rapid.T) {
				c.changeUpstream(t, func(u *config.Upstream) { u.Weight = rapid.Float64Range(1, 4).Draw(t, "weight") })
			},
			"upstream-set": c.changeSet,
			"agent":        c.loadAgent,
			"domain":       c.changeDomain,
			"address":      c.moveAddress,
			"keys":         c.rotateKeys,
			"forge":        c.forge,
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

// checkFlows sends one packet of each flow through a random balancer.
func (c *cluster) checkFlows(t *rapid.T) {
	if len(c.flows) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.entries)-1).Draw(t, "balancer")
	for _, f := range c.flows {
		tr := c.send(t, c.entries[i], f, false)
		// Packets of ended flows keep arriving; no other agent may accept them either.
		f.ended = f.ended || c.aborted(f)
		if !f.ended && tr.verdict != gdroute.Accept && !excused(tr, f) {
			t.Fatalf("established flow of %d (token %v) was lost: %v %v after %d processes",
				f.home, f.sealed, tr.verdict, tr.reason, len(tr.seen))
		}
	}
}

// aborted reports whether a requested change ended the flow.
func (c *cluster) aborted(f *flow) bool {
	v := c.newest()
	u, ok := v.Upstream(f.home)
	owner, mapped := v.ServiceByAddress(f.address)
	if !ok || u.DomainOut() || !mapped || owner.ID() != f.service {
		return true
	}
	if f.sealed && !slices.Contains(v.Deployment().TokenKeys, f.key) {
		return true
	}
	return c.agents[f.home].core.Incarnation != f.incarnation
}

// excused reports whether a process on the path was paused, or had too old a view to
// route the packet to its flow.
func excused(tr trace, f *flow) bool {
	for _, p := range tr.seen {
		u, known := p.view.Upstream(f.home)
		owner, mapped := p.view.ServiceByAddress(f.address)
		if p.silent() || !known || u.DomainOut() || mapped && owner.ID() != f.service {
			return true
		}
	}
	_, served := tr.seen[0].view.ServiceByAddress(f.address)
	return !served
}

// open opens a flow of a random service through a random balancer.
func (c *cluster) open(t *rapid.T) {
	c.sequence++
	f := &flow{caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, 7}), uint16(c.sequence))}
	f.sealed = rapid.Bool().Draw(t, "token")
	spec := rapid.SampledFrom(c.latest.Services).Draw(t, "service")
	f.address = netip.MustParseAddrPort(spec.Address)
	e := rapid.SampledFrom(c.entries).Draw(t, "balancer")
	tr := c.send(t, e, f, true)
	if tr.verdict != gdroute.Accept {
		return
	}
	u, _ := tr.last.view.Upstream(tr.last.core.Self)
	if u.Leaving() {
		t.Fatalf("new flow was accepted by %s, whose view says that it is leaving", u.Name())
	}
	f.service, f.home, f.incarnation = tr.service, u.ID(), tr.last.core.Incarnation
	if f.sealed {
		f.token = gdtoken.New(f.service, f.home, f.incarnation, c.sequence)
		cid := gdtoken.NewSealer(tr.last.keyring).Seal(f.token)
		f.cid = cid[:]
		f.key = tr.last.view.Deployment().TokenKeys[0]
	}
	c.flows = append(c.flows, f)
}

// forge sends a random token, and a token sealed under the right key that names
// another service's upstream or an earlier incarnation of an agent.
func (c *cluster) forge(t *rapid.T) {
	f := &flow{address: netip.MustParseAddrPort(rapid.SampledFrom(c.latest.Services).Draw(t, "service").Address)}
	e := rapid.SampledFrom(c.entries).Draw(t, "balancer")
	f.cid = rapid.SliceOfN(rapid.Byte(), gdtoken.Size, gdtoken.Size).Draw(t, "cid")
	f.cid[0] = f.cid[0]&^(1<<6-1) | (gdtoken.Size - 1)
	if tr := c.send(t, e, f, false); tr.verdict == gdroute.Accept {
		t.Fatalf("forged token was accepted")
	}
	service := gdconf.ServiceID(rapid.IntRange(1, clusterServices).Draw(t, "named"))
	self := rapid.SampledFrom(c.latest.Services).Draw(t, "owner")
	home := gdconf.UpstreamID(rapid.SampledFrom(self.Upstreams).Draw(t, "upstream").ID)
	earlier := c.agents[home].core.Incarnation - 1
	cid := gdtoken.NewSealer(e.keyring).Seal(gdtoken.New(service, home, earlier, 1))
	f.cid = cid[:]
	if tr := c.send(t, e, f, false); tr.verdict == gdroute.Accept {
		t.Fatalf("token of an earlier incarnation was accepted")
	}
}

// applySome applies the newest view, or one of the two before it, to some of the
// processes.
func (c *cluster) applySome(t *rapid.T) {
	all := c.members()
	who := rapid.SliceOfN(rapid.Bool(), len(all), len(all)).Draw(t, "who")
	v := c.views[max(0, len(c.views)-rapid.IntRange(1, 3).Draw(t, "age"))]
	for i, m := range all {
		if p := m.state(); who[i] && !p.silent() && p.older(v) {
			c.apply(m, v)
		}
	}
}

func (c *cluster) pause(t *rapid.T) {
	rapid.SampledFrom(c.members()).Draw(t, "member").state().paused = true
}

// loadAgent sets or clears an agent's full and busy flags, or shuts it down.
func (c *cluster) loadAgent(t *rapid.T) {
	s := rapid.SampledFrom(c.latest.Services).Draw(t, "service")
	filter := c.agents[gdconf.UpstreamID(rapid.SampledFrom(s.Upstreams).Draw(t, "upstream").ID)].core
	filter.SetFull(rapid.Bool().Draw(t, "full"))
	filter.SetBusy(rapid.Bool().Draw(t, "busy"))
	if rapid.IntRange(0, 4).Draw(t, "stop") == 0 {
		filter.SetStopping()
	}
}

// wake ends the pauses. Each process then blocks until it has confirmed its view.
func (c *cluster) wake(*rapid.T) {
	for _, m := range c.members() {
		if p := m.state(); p.paused {
			p.paused, p.unconfirmed = false, true
			m.block(true)
		}
	}
}

func (c *cluster) confirm(*rapid.T) {
	for _, m := range c.members() {
		if p := m.state(); p.unconfirmed {
			p.unconfirmed = false
			c.apply(m, c.newest())
			m.block(false)
		}
	}
}

// replace replaces a balancer or an agent by a new process, or adds a balancer.
func (c *cluster) replace(t *rapid.T) {
	i := rapid.IntRange(0, clusterBalancers+1).Draw(t, "place")
	switch {
	case i < clusterBalancers:
		c.entries[i] = c.newEntry(c.newest())
	case i == clusterBalancers:
		c.entries = append(c.entries[:clusterBalancers], c.newEntry(c.newest()))
	default:
		s := rapid.SampledFrom(c.latest.Services).Draw(t, "service")
		id := gdconf.UpstreamID(rapid.SampledFrom(s.Upstreams).Draw(t, "upstream").ID)
		c.agents[id] = c.newAgent(id, c.agents[id].core.Incarnation+1)
	}
}

// cloneLatest returns a copy of the newest deployment that shares no lists with it.
func (c *cluster) cloneLatest() config.Deployment {
	d := c.latest
	d.Domains = append([]config.Domain(nil), d.Domains...)
	d.Services = append([]config.Service(nil), d.Services...)
	for i := range d.Services {
		d.Services[i].Upstreams = append([]config.Upstream(nil), d.Services[i].Upstreams...)
	}
	return d
}

func (c *cluster) changeUpstream(t *rapid.T, change func(*config.Upstream)) {
	d := c.cloneLatest()
	us := d.Services[rapid.IntRange(0, clusterServices-1).Draw(t, "service")].Upstreams
	change(&us[rapid.IntRange(0, len(us)-1).Draw(t, "upstream")])
	c.publish(d)
}

// changeSet adds an upstream to a service or removes its last one.
func (c *cluster) changeSet(t *rapid.T) {
	d := c.cloneLatest()
	i := rapid.IntRange(0, clusterServices-1).Draw(t, "service")
	us := &d.Services[i].Upstreams
	n := len(*us)
	if n > clusterUpstreams && rapid.Bool().Draw(t, "remove") {
		*us = (*us)[:n-1]
	} else if n < maxClusterUpstreams {
		full := gdfixture.Deployment(clusterServices, maxClusterUpstreams)
		*us = append(*us, full.Services[i].Upstreams[n])
	}
	c.publish(d)
}

func (c *cluster) changeDomain(t *rapid.T) {
	d := c.cloneLatest()
	i := rapid.IntRange(0, len(d.Domains)-1).Draw(t, "domain")
	d.Domains[i].State = rapid.SampledFrom([]config.State{config.StateIn, config.StateOut}).Draw(t, "state")
	c.publish(d)
}

// moveAddress assigns a new address to a service or swaps the addresses of two.
func (c *cluster) moveAddress(t *rapid.T) {
	d := c.cloneLatest()
	if rapid.Bool().Draw(t, "exchange") {
		d.Services[0].Address, d.Services[1].Address = d.Services[1].Address, d.Services[0].Address
	} else {
		d.Services[0].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 9, 9}), uint16(len(c.views))).String()
	}
	c.publish(d)
}

// rotateKeys takes the next step of a key rotation: add a key, make it the first,
// or remove the old one.
func (c *cluster) rotateKeys(*rapid.T) {
	d := c.cloneLatest()
	old := d.TokenKeys[0]
	next := config.TokenKey{Phase: (old.Phase + 1) % (config.MaxPhase + 1), Name: fmt.Sprintf("key-%d", len(c.views))}
	switch {
	case len(d.TokenKeys) == 1:
		d.TokenKeys = []config.TokenKey{old, next}
	case d.TokenKeys[1].Phase == next.Phase:
		d.TokenKeys = []config.TokenKey{d.TokenKeys[1], old}
	default:
		d.TokenKeys = d.TokenKeys[:1]
	}
	c.publish(d)
}
