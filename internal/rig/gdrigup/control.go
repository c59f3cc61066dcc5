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

// Balancers returns the balancers over which the fabric sprays.
func (r *Rig) Balancers() []gdfabric.Balancer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]gdfabric.Balancer{}, r.balancers...)
}

// KillBalancer kills the named balancer. The fabric goes on spraying to it until
// RemoveBalancer.
func (r *Rig) KillBalancer(name string) error {
	p := r.Process(name)
	if p == nil {
		return errors.Errorf("no process %s to kill", name)
	}
	p.Kill()
	return nil
}

// RemoveBalancer takes the named balancer out of the fabric and the host list.
func (r *Rig) RemoveBalancer(name string) {
	r.mu.Lock()
	r.balancers = lo.Reject(r.balancers, func(b gdfabric.Balancer, _ int) bool { return b.Name == name })
	r.mu.Unlock()
	r.announce()
}

// AddBalancer starts one more balancer on a host of its own and returns its
// name. The fabric sprays to it when it listens.
func (r *Rig) AddBalancer() (string, error) {
	n := r.started
	if err := r.startBalancer(n); err != nil {
		return "", err
	}
	r.announce()
	return balancerName(n), nil
}

// Pause stops the named process in its tracks; Resume lets it go on.
func (r *Rig) Pause(name string) error { return r.signal(name, syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (r *Rig) Resume(name string) error { return r.signal(name, syscall.SIGCONT) }

func (r *Rig) signal(name string, s syscall.Signal) error {
	p := r.Process(name)
	if p == nil {
		return errors.Errorf("no process %s to signal", name)
	}
	return p.Signal(s)
}

// RestartAgent starts the agent of the named upstream again, once its process
// has ended. A process that drains has its service's drain time for it.
func (r *Rig) RestartAgent(upstream string) error {
	for _, s := range r.Deployment().Services {
		for _, u := range s.Upstreams {
			if u.Name == upstream {
				r.endAgent(s, u)
				return r.startAgent(s.Name, u)
			}
		}
	}
	return errors.Errorf("no upstream is named %q", upstream)
}

func (r *Rig) endAgent(s config.Service, u config.Upstream) {
	if p := r.Process(u.Name); p != nil {
		p.WaitOrKill(seconds(float64(lo.CoalesceOrEmpty(s.DrainSeconds, config.DefaultDrainSeconds))) + endTimeout)
	}
}

// SetTokenKeys publishes other token keys.
func (r *Rig) SetTokenKeys(change func([]config.TokenKey) []config.TokenKey) error {
	return r.change(func(d *config.Deployment) { d.TokenKeys = change(d.TokenKeys) })
}

// SetUpstreamState publishes the state of one upstream.
func (r *Rig) SetUpstreamState(name string, state config.State) error {
	return r.change(func(d *config.Deployment) {
		for i := range d.Services {
			for j := range d.Services[i].Upstreams {
				if d.Services[i].Upstreams[j].Name == name {
					d.Services[i].Upstreams[j].State = state
				}
			}
		}
	})
}

// SetDomainState publishes the state of one failure domain. The fabric and the
// host list leave out the balancers of a domain that is out.
func (r *Rig) SetDomainState(name string, state config.State) error {
	err := r.change(func(d *config.Deployment) {
		for i := range d.Domains {
			if d.Domains[i].Name == name {
				d.Domains[i].State = state
			}
		}
	})
	r.announce()
	return err
}

// change publishes a changed deployment as the next revision.
func (r *Rig) change(change func(*config.Deployment)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.deployment
	d.Domains = append([]config.Domain{}, d.Domains...)
	d.Services = append([]config.Service{}, d.Services...)
	for i := range d.Services {
		d.Services[i].Upstreams = append([]config.Upstream{}, d.Services[i].Upstreams...)
	}
	change(&d)
	d.Revision++
	r.deployment = d
	return r.publish()
}

// announce gives the live hosts to the platform's list and the fabric.
func (r *Rig) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]bool)
	for _, d := range r.deployment.Domains {
		out[d.Name] = d.State == config.StateOut
	}
	var hosts []gdplatsim.Host
	for _, p := range r.processes {
		if ended, _ := p.Exited(); !ended {
			hosts = append(hosts, p.host(out[p.Domain()]))
		}
	}
	r.Platform.SetHosts(hosts)
	r.Fabric.SetBalancers(lo.Reject(r.balancers, func(b gdfabric.Balancer, _ int) bool { return out[b.Domain] }))
}

// host returns the process's row in the host list.
func (p *Process) host(leaving bool) gdplatsim.Host {
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
