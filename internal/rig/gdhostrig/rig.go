package gdhostrig

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdfaultproxy"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The ports are the same on all hosts.
const (
	callersPort  = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8170
	upstreamPort = 8080
	hopPort      = 7720
	lastPort     = 7735
	claimPort    = 7700
)

// The third number of a loopback address says what has it.
const (
	entryNet = iota + 1
	agentNet
	callerNet
	storeNet
	entrySeenNet
	agentSeenNet
)

const (
	// firstSlot and slots are the second numbers of the loopback addresses that rigs
	// on one machine share out.
	firstSlot = 16
	slots     = 200
	// settleTime is what a deployment has before its load begins, as on the users'
	// platform, where it is longer.
	settleTime = 2 * time.Second
	// seedHosts is how many entry hosts are named in the settings.
	seedHosts = 3
)

// Rig is a deployment with its stand-ins. Its exported fields are set before Start.
type Rig struct {
	// Binary is the program of the hosts.
	Binary string
	// Dir takes settings and logs.
	Dir      string
	Seed     uint64
	Shape    Shape
	Observer Observer

	*loop
	rand     *rand.Rand
	stop     context.CancelFunc
	claim    net.Listener
	slot     byte
	store    *platformsim.Store
	relay    gdfaultproxy.DatagramProxy
	hosts    []*Host
	names    map[netip.Addr]string
	callers  callers
	config   gddiscovery.Config
	routes   int // how many routes there have been
	numbers  map[byte]byte
	first    bool // the whole deployment starts
	stopping bool
}

// Start starts the deployment and, a little later, its load. After an error nothing of
// it runs.
func (r *Rig) Start(ctx context.Context) error {
	err := r.start(ctx)
	if err != nil {
		r.stop()
		for _, h := range r.hosts {
			if h.child != nil {
				h.end()
			}
		}
	}
	return err
}

func (r *Rig) start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	r.loop = newLoop(ctx)
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	r.relay.Rand = rand.New(rand.NewPCG(r.Seed, 2))
	r.store = platformsim.NewStore(history)
	r.names, r.numbers = make(map[netip.Addr]string), make(map[byte]byte)
	if err := r.claimSlot(); err != nil {
		return err
	}
	r.first = true
	now := time.Now()
	for _, d := range r.Shape.Domains {
		for range r.Shape.EntryHostsPerDomain {
			if _, err := r.AddEntry(now, d); err != nil {
				return err
			}
		}
	}
	for _, s := range r.Shape.Services {
		for i := range s.Upstreams {
			if _, err := r.AddUpstream(now, s.Name, r.Shape.Domains[i%len(r.Shape.Domains)], false); err != nil {
				return err
			}
		}
	}
	r.configure(now)
	if err := r.callers.init(r); err != nil {
		return err
	}
	go r.run()
	r.After(settleTime/2, r.started)
	r.After(settleTime, r.callers.begin)
	r.post(r.watchHosts)
	return nil
}

// started writes the settings of a deployment that is no longer new.
func (r *Rig) started(time.Time) {
	r.first = false
	for _, h := range r.hosts {
		if err := r.writeSettings(h); err != nil {
			r.saw(Event{Kind: FaultStarted, Host: h.name, Text: err.Error()})
		}
	}
}

// claimSlot claims the part of the loopback network that no other rig has.
func (r *Rig) claimSlot() error {
	for i := range byte(slots) {
		r.slot = firstSlot + i
		l, err := net.Listen("tcp4", netip.AddrPortFrom(r.addr(0, 1), claimPort).String())
		if err == nil {
			r.claim = l
			return nil
		}
	}
	return errors.Errorf("all %d parts of the loopback network are in use", slots)
}

func (r *Rig) addr(kind, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, r.slot, kind, n}) }

// number returns the next number for a kind of address.
func (r *Rig) number(kind byte) byte {
	r.numbers[kind]++
	return r.numbers[kind]
}

// Do runs a function in the loop and waits for it.
func (r *Rig) Do(f func(now time.Time)) {
	done := make(chan struct{})
	r.post(func(now time.Time) {
		defer close(done)
		f(now)
	})
	select {
	case <-done:
	case <-r.ctx.Done():
	}
}

// Stop ends the load, the processes and the stand-ins.
func (r *Rig) Stop() {
	r.Do(func(now time.Time) { r.callers.stop(now) })
	r.Do(func(time.Time) {
		r.stopping = true
		for _, h := range r.hosts {
			h.end()
		}
	})
	r.stop()
	<-r.over // nothing is observed any more
	_, _, _ = r.relay.Close(), r.claim.Close(), r.callers.close()
}

// StoreReads returns how many calls of the store there were.
func (r *Rig) StoreReads() int { return r.store.Reads() }

// DatagramFaultCounts returns how many datagrams were harmed, by kind.
func (r *Rig) DatagramFaultCounts() map[string]int { return r.relay.FaultCounts() }

// Hosts returns the hosts of a role that are part of the deployment.
func (r *Rig) Hosts(role string) []*Host {
	return slices.DeleteFunc(slices.Clone(r.hosts), func(h *Host) bool { return h.role != role || h.removed })
}

// Upstreams returns the upstreams that run and are not leaving.
func (r *Rig) Upstreams() []*Upstream {
	var all []*Upstream
	for _, h := range r.Hosts(RoleAgent) {
		if u := h.upstream; u != nil && u.running() && !u.Draining {
			all = append(all, u)
		}
	}
	return all
}

// Rand returns the random source of the loop.
func (r *Rig) Rand() *rand.Rand { return r.rand }

func (r *Rig) saw(ev Event) {
	if ev.At.IsZero() {
		ev.At = time.Now()
	}
	r.Observer.Observe(ev)
}

func address(a netip.AddrPort) gdflow.Address {
	out, _ := gdflow.AddressFromAddrPort(a) // all addresses of the rig are IPv4
	return out
}
