package gdhostrig

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdfaultproxy"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The ports on each host.
const (
	callerPort        = 8172
	readyPort         = 8167
	controlPort       = 8166
	outboundPort      = 8170
	upstreamPort      = 8080
	firstInternalPort = 7720
	lastInternalPort  = 7735
)

// The third byte of a loopback address denotes what the address is for.
const (
	entryNet = iota + 1
	agentNet
	callerNet
	storeNet
	entryProxyNet
	agentProxyNet
)

const (
	// settleDelay is the time between the start of a deployment and that of its load. It
	// is longer on the users' platform.
	settleDelay = 2 * time.Second
	// seedHosts is the number of entry hosts listed as seeds in the settings.
	seedHosts = 3
)

// Rig is a deployment with simulators of everything around it. Set its exported fields
// before Start.
type Rig struct {
	// Binary is the program of the hosts.
	Binary string
	// Dir is the directory for settings and logs.
	Dir      string
	Seed     uint64
	Shape    Shape
	Observer Observer

	*loop
	rand          *rand.Rand
	stop          context.CancelFunc
	network       *gdlisten.Network
	store         *platformsim.Store
	datagramProxy gdfaultproxy.DatagramProxy
	hosts         []*Host
	names         map[netip.Addr]string
	callers       callers
	config        gddiscovery.Config
	domainsOut    map[string]bool
	allowed       map[string][]string // the services that each route has had
	routeCount    int                 // the number of routes added so far
	lastNumbers   map[byte]byte
	firstStart    bool // the whole deployment starts for the first time
	stopping      bool
}

// Start starts the deployment and, after settleDelay, its load. If it returns an error, no
// process of the deployment is left running and no socket is left open.
func (r *Rig) Start(ctx context.Context) error {
	err := r.start(ctx)
	if err != nil {
		for _, h := range r.hosts {
			h.stop()
		}
		r.stop()
		r.closeSockets()
	}
	return err
}

// closeSockets closes the sockets that do not belong to a host.
func (r *Rig) closeSockets() {
	_, _ = r.datagramProxy.Close(), r.callers.close() // an error doesn't matter at the end of the run
	if r.network != nil {
		_ = r.network.Close()
	}
}

func (r *Rig) start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	r.loop = newLoop(ctx)
	r.rand = rand.New(rand.NewPCG(r.Seed, 1))
	r.datagramProxy.Rand = rand.New(rand.NewPCG(r.Seed, 2))
	r.store = platformsim.NewStore(historyRetention)
	r.domainsOut, r.allowed = make(map[string]bool), make(map[string][]string)
	r.names, r.lastNumbers = make(map[netip.Addr]string), make(map[byte]byte)
	var err error
	if r.network, err = gdlisten.ClaimNetwork(); err != nil {
		return err
	}
	r.firstStart = true
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
	r.After(settleDelay/2, r.clearFirstStart)
	r.After(settleDelay, r.callers.startLoad)
	r.post(r.watchHosts)
	return nil
}

// clearFirstStart rewrites the settings files without the flag of a first start.
func (r *Rig) clearFirstStart(time.Time) {
	r.firstStart = false
	for _, h := range r.hosts {
		if err := r.writeSettings(h); err != nil {
			r.observe(Event{Kind: RigError, Host: h.name, Text: err.Error()})
		}
	}
}

func (r *Rig) addr(kind, n byte) netip.Addr { return r.network.Addr(kind, n) }

// nextNumber returns the next unused last byte for a kind of address.
func (r *Rig) nextNumber(kind byte) byte {
	r.lastNumbers[kind]++
	return r.lastNumbers[kind]
}

// Do runs a function in the loop and waits until it returns or the rig is stopped.
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

// Stop stops the load, the processes and the simulators.
func (r *Rig) Stop() {
	r.Do(func(now time.Time) { r.callers.stop(now) })
	r.Do(func(time.Time) {
		r.stopping = true
		for _, h := range r.hosts {
			h.stop()
		}
	})
	r.stop()
	<-r.stopped // after this the observer is not called
	r.closeSockets()
}

// StoreReads returns the number of calls to the store.
func (r *Rig) StoreReads() int { return r.store.Reads() }

// DatagramFaultCounts returns the number of datagrams with injected faults by fault; see
// [gdfaultproxy.DatagramProxy.FaultCounts].
func (r *Rig) DatagramFaultCounts() map[string]int { return r.datagramProxy.FaultCounts() }

// Hosts returns the hosts of a role that are part of the deployment.
func (r *Rig) Hosts(role string) []*Host {
	return slices.DeleteFunc(slices.Clone(r.hosts), func(h *Host) bool { return h.role != role || h.removed })
}

// Upstreams returns the upstreams that are running and not draining.
func (r *Rig) Upstreams() []*Upstream {
	var all []*Upstream
	for _, h := range r.Hosts(RoleAgent) {
		if u := h.upstream; u != nil && u.running() && !u.Draining {
			all = append(all, u)
		}
	}
	return all
}

// Rand returns the random source, which may only be used in the loop.
func (r *Rig) Rand() *rand.Rand { return r.rand }

func (r *Rig) observe(ev Event) {
	if ev.At.IsZero() {
		ev.At = time.Now()
	}
	r.Observer.Observe(ev)
}

func address(a netip.AddrPort) gdflow.Address {
	out, _ := gdflow.AddressFromAddrPort(a) // all addresses of the rig are IPv4
	return out
}
