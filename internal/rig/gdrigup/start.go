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
	// nodePort and operatorPort are the ports of a balancer's node and operator
	// addresses. The agents share one host: the first agent uses the same ports,
	// and the ports of each further agent are higher by portStep.
	nodePort     = 7000
	operatorPort = 7001
	portStep     = 2
	// agentHost is the number of the host that all agents share, and
	// firstBalancerHost the number of the first balancer's host (see network.addr).
	agentHost         = 1
	firstBalancerHost = 10
	// firstNetwork is the lowest second byte of the loopback addresses that are
	// derived from the process id.
	firstNetwork = 16
	// maxRigs is the number of rigs that one process can run at the same time, and
	// hostsPerRig the number of loopback addresses of each.
	maxRigs     = 4
	hostsPerRig = 60
)

// rigsStarted counts the rigs that this process has started.
var rigsStarted atomic.Uint32

// network is the part of the loopback network that one rig uses. It is derived from
// the process id and the rig's serial number within the process.
type network struct {
	pid, serial uint32
}

func newNetwork() network {
	return network{pid: uint32(os.Getpid()), serial: rigsStarted.Add(1) % maxRigs}
}

// addr returns the loopback address of the rig's host with the given number. No
// other rig uses it.
func (n network) addr(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{
		127, firstNetwork + byte(n.pid>>8&0x7f), byte(n.pid), byte(int(n.serial)*hostsPerRig + host),
	})
}

// startFabric starts the fabric on free service addresses and copies the addresses
// into the deployment.
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
	r.deployment = withAddresses(d, r.Fabric.Addr, r.network.addr(agentHost))
	r.runSimulator(ctx, "fabric", r.Fabric.Run)
	return nil
}

// withAddresses returns a copy of the deployment with the service addresses that
// addr returns and all agents on the given host.
func withAddresses(d config.Deployment, addr func(service string) netip.AddrPort, agentAddr netip.Addr) config.Deployment {
	port := uint16(nodePort)
	d.Domains = append([]config.Domain{}, d.Domains...)
	d.Services = append([]config.Service{}, d.Services...)
	for i := range d.Services {
		s := &d.Services[i]
		s.Address = addr(s.Name).String()
		s.Upstreams = append([]config.Upstream{}, s.Upstreams...)
		for j := range s.Upstreams {
			s.Upstreams[j].Agent = netip.AddrPortFrom(agentAddr, port).String()
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
			r.runSimulator(ctx, u.Name, up.Run)
		}
	}
	return nil
}

func (r *Rig) startPlatform(ctx context.Context) error {
	r.Platform = &gdplatsim.Platform{Lag: milliseconds(r.Spec.Settings.PlatformLagMS)}
	if err := r.Platform.Listen(); err != nil {
		return errors.Wrap(err, "start platform")
	}
	r.runSimulator(ctx, "platform", r.Platform.Run)
	return r.publish()
}

// publish publishes the current deployment on the platform.
func (r *Rig) publish() error {
	values, err := config.Split(r.deployment)
	if err != nil {
		return errors.Wrap(err, "encode deployment")
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
	r.updateHosts()
	return nil
}

func (r *Rig) startAgent(service string, u config.Upstream) error {
	addr := netip.MustParseAddrPort(u.Agent)
	s := r.commonSettings(u.Name, u.Domain)
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

// maxSeedPeers is the largest number of peers in a process's settings.
const maxSeedPeers = 3

// balancerName returns the name of the balancer with the given number, counted
// from 0.
func balancerName(n int) string { return "balancer-" + strconv.Itoa(n+1) }

// startBalancer starts the balancer with the given number. Balancers are assigned to
// the failure domains in turn.
func (r *Rig) startBalancer(n int) error {
	host := r.network.addr(firstBalancerHost + n)
	domains := r.deployment.Domains
	s := r.commonSettings(balancerName(n), domains[n%len(domains)].Name)
	s.NodeAddress = netip.AddrPortFrom(host, nodePort).String()
	s.OperatorAddress = netip.AddrPortFrom(host, operatorPort).String()
	s.ListenHost = host.String()
	if err := r.startProcess(gdplatsim.RoleBalancer, s); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancersStarted++
	r.balancers = append(r.balancers, gdfabric.Balancer{Name: s.Name, Domain: s.Domain, Host: host})
	return nil
}

// commonSettings returns the settings that balancers and agents share.
func (r *Rig) commonSettings(name, domain string) nodeSettings {
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

// seedPeers returns up to maxSeedPeers agents other than the named process, from
// which it fetches the configuration while the platform is unavailable.
func (r *Rig) seedPeers(name string) []string {
	var out []string
	for _, s := range r.deployment.Services {
		for _, u := range s.Upstreams {
			if u.Name != name && len(out) < maxSeedPeers {
				out = append(out, u.Name+"@"+u.Agent)
			}
		}
	}
	return out
}

func (r *Rig) startProcess(role string, s nodeSettings) error {
	p, err := spawn(r.Binary, r.dir, role, s)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[p.Name()] = p
	return nil
}

// awaitService probes the service until it answers, a process exits unexpectedly or
// ctx ends.
func (r *Rig) awaitService(ctx context.Context, t gdload.Target, roots *x509.CertPool) error {
	var probeErr error
	for {
		if probeErr = gdload.Probe(ctx, t, roots); probeErr == nil {
			return nil
		}
		if err := r.checkProcesses(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(probeErr, "service "+t.Service+": no answer")
		case <-time.After(probeInterval):
		}
	}
}

// checkProcesses returns an error with the end of the log if a process has exited
// unexpectedly.
func (r *Rig) checkProcesses() error {
	for _, p := range r.Processes() {
		if exited, expected := p.Exited(); exited && !expected {
			return errors.Errorf("%s exited unexpectedly:\n%s", p.Name(), tail(p.LogFile()))
		}
	}
	return nil
}

// tailBytes is the number of bytes that tail returns.
const tailBytes = 2000

// tail returns the end of the file, or the error text if the file cannot be read.
func tail(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}
