package gdrigup

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
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
	// firstAnswerTimeout bounds the time until all services have answered a probe.
	firstAnswerTimeout = 30 * time.Second
	// probeInterval is the pause between two probes of a service.
	probeInterval = 100 * time.Millisecond
	// stopTimeout is the time that a child process has to exit before it is killed.
	stopTimeout = 5 * time.Second
)

// Rig is a deployment that runs on this machine. Set Spec, Binary, LogLevel and
// Progress before Start.
type Rig struct {
	Spec Spec
	// Binary is the path of the godwitdrift program.
	Binary string
	// LogLevel is the log level of each process; empty means "info".
	LogLevel string
	// Progress, if set, is called with a message for each step.
	Progress func(string)

	// Platform, Fabric and Record are valid after Start.
	Platform *gdplatsim.Platform
	Fabric   *gdfabric.Fabric
	Record   *gdupstreamsim.Record

	mu               sync.Mutex
	dir              string
	authority        *authority
	network          network
	deployment       config.Deployment
	upstreams        map[string]*gdupstreamsim.Upstream
	processes        map[string]*Process
	balancers        []gdfabric.Balancer
	balancersStarted int // includes balancers that were removed
	cancel           context.CancelFunc
	wg               sync.WaitGroup
}

// ServiceAddr is one service with its public address.
type ServiceAddr struct {
	Name string
	Addr netip.AddrPort
}

// Start starts the deployment and waits until each service has answered a probe. On
// an error it stops everything that it has started.
func (r *Rig) Start(ctx context.Context) error {
	err := r.start(ctx)
	if err == nil {
		err = r.awaitServices(ctx)
	}
	if err != nil {
		r.Stop()
	}
	return err
}

func (r *Rig) start(ctx context.Context) error {
	var err error
	if r.dir, err = os.MkdirTemp("", "gdrig-"); err != nil {
		return errors.Wrap(err, "make temporary directory")
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.Record = &gdupstreamsim.Record{}
	r.upstreams = make(map[string]*gdupstreamsim.Upstream)
	r.processes = make(map[string]*Process)
	if err := r.writeSecrets(); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{r.startFabric, r.startUpstreams, r.startPlatform} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return r.startProcesses()
}

// Stop stops the child processes and the simulators and removes the temporary
// directory.
func (r *Rig) Stop() {
	r.mu.Lock()
	processes := lo.Values(r.processes)
	r.mu.Unlock()
	for _, p := range processes {
		p.Terminate()
	}
	for _, p := range processes {
		p.WaitOrKill(stopTimeout)
	}
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

// Services returns the services with their addresses, in the deployment's order.
func (r *Rig) Services() []ServiceAddr {
	return lo.Map(r.Deployment().Services, func(s config.Service, _ int) ServiceAddr {
		return ServiceAddr{Name: s.Name, Addr: netip.MustParseAddrPort(s.Address)}
	})
}

// CAFile returns the path of the certificate of the authority that callers trust.
func (r *Rig) CAFile() string { return r.authority.caFile() }

// Dir returns the path of the temporary directory.
func (r *Rig) Dir() string { return r.dir }

// Deployment returns the deployment that was published last.
func (r *Rig) Deployment() config.Deployment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deployment
}

// Upstream returns the simulator of the named upstream, or nil.
func (r *Rig) Upstream(name string) *gdupstreamsim.Upstream { return r.upstreams[name] }

// Processes returns the processes that the rig has started and not replaced,
// sorted by name. They may have exited.
func (r *Rig) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.processes), func(a, b *Process) int {
		return cmp.Compare(a.Name(), b.Name())
	})
}

func (r *Rig) progress(message string) {
	if r.Progress != nil {
		r.Progress(message)
	}
}

// runSimulator runs a simulator in a goroutine until the rig stops.
func (r *Rig) runSimulator(ctx context.Context, name string, f func(context.Context) error) {
	r.wg.Go(func() {
		if err := f(ctx); err != nil {
			r.progress(name + " failed: " + err.Error())
		}
	})
}

// writeSecrets writes the certificates and the fleet key to the temporary directory.
func (r *Rig) writeSecrets() error {
	var err error
	if r.authority, err = newAuthority(r.dir); err != nil {
		return err
	}
	for _, s := range r.Spec.Deployment.Services {
		if err := r.authority.issue(s.Name); err != nil {
			return err
		}
	}
	return writeFleetKey(r.FleetKeyFile())
}

// FleetKeyFile returns the path of the fleet key.
func (r *Rig) FleetKeyFile() string { return filepath.Join(r.dir, "fleet.key") }

// awaitServices waits until each service has answered a probe.
func (r *Rig) awaitServices(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstAnswerTimeout)
	defer cancel()
	roots, err := gdload.LoadRoots(r.CAFile())
	if err != nil {
		return err
	}
	for _, s := range r.Services() {
		r.progress("waiting for " + s.Name)
		if err := r.awaitService(ctx, gdload.Target{Service: s.Name, Addr: s.Addr}, roots); err != nil {
			return err
		}
	}
	return nil
}
