package gdrigup

import (
	"context"
	"crypto/x509"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdfabric"
	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdplatsim"
	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

const (
	// nodePort and operatorPort are the ports of a balancer's control and
	// operator addresses; agents count up from them in steps of two.
	nodePort     = 7000
	operatorPort = 7001
	portStep     = 2
	// agentHost and firstBalancerHost are the last byte of loopback addresses.
	agentHost         = 1
	firstBalancerHost = 10
	// ownNetworks is the first of the second bytes of loopback addresses that
	// are derived from the process id.
	ownNetworks = 16
	// rigsAtOnce is the number of rigs that one process can run at a time, and
	// hostsOfRig the number of loopback addresses of each.
	rigsAtOnce = 4
	hostsOfRig = 60
)

// rigs counts the rigs that this process has started.
var rigs atomic.Uint32

// network is the part of the loopback network that one rig uses.
type network struct {
	pid, serial uint32
}

func newNetwork() network {
	return network{pid: uint32(os.Getpid()), serial: rigs.Add(1) % rigsAtOnce}
}

// host returns an address that no other rig uses.
func (n network) host(last int) netip.Addr {
	return netip.AddrFrom4([4]byte{
		127, ownNetworks + byte(n.pid>>8&0x7f), byte(n.pid), byte(int(n.serial)*hostsOfRig + last),
	})
}

// startFabric binds the service addresses and moves the deployment to them.
func (r *Rig) startFabric(ctx context.Context) error {
	d := r.Spec.Deployment
	r.Fabric = &gdfabric.Fabric{
		Services:    lo.Map(d.Services, func(s config.Service, _ int) string { return s.Name }),
		Domains:     lo.Map(d.Domains, func(d config.Domain, _ int) string { return d.Name }),
		CallerDelay: milliseconds(r.Spec.Settings.CallerDelayMS),
		DomainDelay: milliseconds(r.Spec.Settings.DomainDelayMS),
		Seed:        r.Spec.Settings.Seed,
	}
	if err := r.Fabric.Listen(); err != nil {
		return errors.Wrap(err, "start fabric")
	}
	r.network = newNetwork()
	r.deployment = place(d, r.Fabric.Addr, r.network.host(agentHost))
	r.run(ctx, "fabric", r.Fabric.Run)
	return nil
}

// place returns a copy of the deployment with the rig's own addresses.
func place(d config.Deployment, addr func(service string) netip.AddrPort, agents netip.Addr) config.Deployment {
	port := uint16(nodePort)
	d.Domains = append([]config.Domain{}, d.Domains...)
	d.Services = append([]config.Service{}, d.Services...)
	for i := range d.Services {
		s := &d.Services[i]
		s.Address = addr(s.Name).String()
		s.Upstreams = append([]config.Upstream{}, s.Upstreams...)
		for j := range s.Upstreams {
			s.Upstreams[j].Agent = netip.AddrPortFrom(agents, port).String()
			port += portStep
		}
	}
	return d
}

func (r *Rig) startUpstreams(ctx context.Context) error {
	set := r.Spec.Settings
	for _, s := range r.deployment.Services {
		for _, u := range s.Upstreams {
			up := &gdupstreamsim.Upstream{
				Service: s.Name, Name: u.Name, Slots: u.Slots,
				ServiceTime: milliseconds(set.ServiceTimeMS),
				WarmUp:      seconds(set.WarmUpSeconds),
				Seed:        set.Seed + uint64(u.ID),
				Record:      r.Record,
			}
			if err := up.Listen(); err != nil {
				return errors.Wrap(err, "start upstream "+u.Name)
			}
			r.upstreams[u.Name] = up
			r.run(ctx, u.Name, up.Run)
		}
	}
	return nil
}

func (r *Rig) startPlatform(ctx context.Context) error {
	r.Platform = &gdplatsim.Platform{Lag: milliseconds(r.Spec.Settings.PlatformLagMS)}
	if err := r.Platform.Listen(); err != nil {
		return errors.Wrap(err, "start platform")
	}
	r.run(ctx, "platform", r.Platform.Run)
	return r.publish()
}

func (r *Rig) publish() error {
	values, err := config.Split(r.deployment)
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	r.Platform.Publish(values...)
	return nil
}

func (r *Rig) startProcesses() error {
	for _, s := range r.deployment.Services {
		for _, u := range s.Upstreams {
			if err := r.startAgent(s.Name, u); err != nil {
				return err
			}
		}
	}
	for i := range r.Spec.Settings.Balancers {
		if err := r.startBalancer(i); err != nil {
			return err
		}
	}
	r.announce()
	return nil
}

func (r *Rig) startAgent(service string, u config.Upstream) error {
	addr := netip.MustParseAddrPort(u.Agent)
	s := r.common(u.Name, u.Domain)
	s.NodeAddress = u.Agent
	s.OperatorAddress = netip.AddrPortFrom(addr.Addr(), addr.Port()+operatorPort-nodePort).String()
	s.UpstreamID = u.ID
	s.UpstreamURL = r.upstreams[u.Name].URL()
	s.HealthPath = "/healthz"
	s.CertFile = r.authority.certFile(service)
	s.KeyFile = r.authority.keyFile(service)
	s.MaxFlows = r.Spec.Settings.MaxFlows
	return r.startProcess(gdplatsim.RoleAgent, s)
}

// seedPeers is the number of peers in a process's settings.
const seedPeers = 3

// balancerName returns the name of the balancer with the number.
func balancerName(n int) string { return "balancer-" + strconv.Itoa(n+1) }

// startBalancer starts the balancer with the number, in the failure domains'
// order.
func (r *Rig) startBalancer(n int) error {
	host := r.network.host(firstBalancerHost + n)
	domains := r.deployment.Domains
	s := r.common(balancerName(n), domains[n%len(domains)].Name)
	s.NodeAddress = netip.AddrPortFrom(host, nodePort).String()
	s.OperatorAddress = netip.AddrPortFrom(host, operatorPort).String()
	s.ListenHost = host.String()
	if err := r.startProcess(gdplatsim.RoleBalancer, s); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.balancers = append(r.balancers, gdfabric.Balancer{Name: s.Name, Domain: s.Domain, Host: host})
	return nil
}

func (r *Rig) common(name, domain string) nodeSettings {
	level := r.LogLevel
	if level == "" {
		level = "info"
	}
	return nodeSettings{
		Name: name, Domain: domain, LogLevel: level,
		Platform:     r.Platform.URL(),
		FleetKeyFile: r.FleetKeyFile(),
		Peers:        r.seedPeers(name),
	}
}

// seedPeers returns the first few agents other than the named process, from which
// it gets the configuration when the platform is down.
func (r *Rig) seedPeers(name string) []string {
	var out []string
	for _, s := range r.deployment.Services {
		for _, u := range s.Upstreams {
			if u.Name != name && len(out) < seedPeers {
				out = append(out, u.Name+"@"+u.Agent)
			}
		}
	}
	return out
}

func (r *Rig) startProcess(role string, s nodeSettings) error {
	p, err := start(r.Binary, r.dir, role, s)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[p.Name()] = p
	return nil
}

func (r *Rig) awaitService(ctx context.Context, t gdload.Target, roots *x509.CertPool) error {
	var last error
	for {
		if last = gdload.Probe(ctx, t, roots); last == nil {
			return nil
		}
		if err := r.crashed(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(last, "service "+t.Service+" does not serve")
		case <-time.After(probeEvery):
		}
	}
}

// crashed reports a process that ended on its own, with the end of its log.
func (r *Rig) crashed() error {
	for _, p := range r.Processes() {
		if ended, wanted := p.Exited(); ended && !wanted {
			return errors.Errorf("%s ended on its own:\n%s", p.Name(), tail(p.LogFile()))
		}
	}
	return nil
}

// tailBytes is the length of the end of a log that is shown.
const tailBytes = 2000

func tail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}
