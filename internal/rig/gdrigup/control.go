package gdrigup

import (
	"syscall"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdfabric"
	"godwitdrift.example/godwitdrift/internal/rig/gdplatsim"
)

// Process returns the named process, or nil.
func (r *Rig) Process(name string) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name]
}

// Balancers returns the balancers that the rig has started and not removed.
func (r *Rig) Balancers() []gdfabric.Balancer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]gdfabric.Balancer{}, r.balancers...)
}

// KillBalancer kills the process of the named balancer. The fabric keeps sending
// datagrams to it until RemoveBalancer is called.
func (r *Rig) KillBalancer(name string) error {
	p := r.Process(name)
	if p == nil {
		return errors.Errorf("kill balancer %q: no such process", name)
	}
	p.Kill()
	return nil
}

// RemoveBalancer removes the named balancer from the fabric, and publishes the host
// list again.
func (r *Rig) RemoveBalancer(name string) {
	r.mu.Lock()
	r.balancers = lo.Reject(r.balancers, func(b gdfabric.Balancer, _ int) bool { return b.Name == name })
	r.mu.Unlock()
	r.updateHosts()
}

// AddBalancer starts another balancer on a host of its own, adds it to the fabric
// and returns its name.
func (r *Rig) AddBalancer() (string, error) {
	r.mu.Lock()
	n := r.balancersStarted
	r.mu.Unlock()
	if err := r.startBalancer(n); err != nil {
		return "", err
	}
	r.updateHosts()
	return balancerName(n), nil
}

// Pause suspends the named process with SIGSTOP.
func (r *Rig) Pause(name string) error { return r.signal(name, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (r *Rig) Resume(name string) error { return r.signal(name, syscall.SIGCONT) }

func (r *Rig) signal(name string, s syscall.Signal) error {
	p := r.Process(name)
	if p == nil {
		return errors.Errorf("signal %q: no such process", name)
	}
	return p.Signal(s)
}

// RestartAgent waits for the agent of the named upstream to exit and starts it
// again. A draining agent gets its service's drain time before it is killed.
func (r *Rig) RestartAgent(upstream string) error {
	for _, s := range r.Deployment().Services {
		for _, u := range s.Upstreams {
			if u.Name == upstream {
				r.awaitAgentExit(s, u)
				return r.startAgent(s.Name, u)
			}
		}
	}
	return errors.Errorf("restart agent: no upstream %q", upstream)
}

// awaitAgentExit waits for the upstream's agent to exit and kills it when its drain
// time has passed.
func (r *Rig) awaitAgentExit(s config.Service, u config.Upstream) {
	if p := r.Process(u.Name); p != nil {
		p.WaitOrKill(seconds(float64(lo.CoalesceOrEmpty(s.DrainSeconds, config.DefaultDrainSeconds))) + stopTimeout)
	}
}

// SetTokenKeys publishes the token keys that change returns for the current ones.
func (r *Rig) SetTokenKeys(change func([]config.TokenKey) []config.TokenKey) error {
	return r.updateDeployment(func(d *config.Deployment) { d.TokenKeys = change(d.TokenKeys) })
}

// SetUpstreamState publishes a new state of the named upstream.
func (r *Rig) SetUpstreamState(name string, state config.State) error {
	return r.updateDeployment(func(d *config.Deployment) {
		for i := range d.Services {
			for j := range d.Services[i].Upstreams {
				if d.Services[i].Upstreams[j].Name == name {
					d.Services[i].Upstreams[j].State = state
				}
			}
		}
	})
}

// SetDomainState publishes a new state of the named failure domain. While a domain
// is out, the fabric sends nothing to its balancers, and the host list shows its
// hosts as leaving.
func (r *Rig) SetDomainState(name string, state config.State) error {
	err := r.updateDeployment(func(d *config.Deployment) {
		for i := range d.Domains {
			if d.Domains[i].Name == name {
				d.Domains[i].State = state
			}
		}
	})
	r.updateHosts()
	return err
}

// updateDeployment applies edit to a copy of the deployment and publishes it as the
// next revision.
func (r *Rig) updateDeployment(edit func(*config.Deployment)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.deployment
	d.Domains = append([]config.Domain{}, d.Domains...)
	d.Services = append([]config.Service{}, d.Services...)
	for i := range d.Services {
		d.Services[i].Upstreams = append([]config.Upstream{}, d.Services[i].Upstreams...)
	}
	edit(&d)
	d.Revision++
	r.deployment = d
	return r.publish()
}

// updateHosts sets the running processes in the platform's host list, and the
// balancers whose failure domain is in service in the fabric.
func (r *Rig) updateHosts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for _, d := range r.deployment.Domains {
		out[d.Name] = d.State == config.StateOut
	}
	var hosts []gdplatsim.Host
	for _, p := range r.processes {
		if exited, _ := p.Exited(); !exited {
			hosts = append(hosts, p.hostEntry(out[p.Domain()]))
		}
	}
	r.Platform.SetHosts(hosts)
	r.Fabric.SetBalancers(lo.Reject(r.balancers, func(b gdfabric.Balancer, _ int) bool { return out[b.Domain] }))
}

// hostEntry returns the process's entry in the platform's host list.
func (p *Process) hostEntry(leaving bool) gdplatsim.Host {
	state := gdplatsim.StateLive
	if leaving {
		state = gdplatsim.StateLeaving
	}
	return gdplatsim.Host{
		Name: p.Name(), Role: p.Role(), Domain: p.Domain(), State: state,
		Address:         p.settings.NodeAddress,
		OperatorAddress: p.settings.OperatorAddress,
	}
}
