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
	// serveTimeout is the time in which each service must give its first answer.
	serveTimeout = 30 * time.Second
	// probeEvery is the pause between two probes of a service.
	probeEvery = 100 * time.Millisecond
	// endTimeout is the time that children have to end on request.
	endTimeout = 5 * time.Second
)

// Rig is a running deployment. Set its exported fields before Start.
type Rig struct {
	Spec Spec
	// Binary is the file of the godwitdrift program.
	Binary string
	// LogLevel is given to each process; empty means "info".
	LogLevel string
	// Progress, when set, is called with each step in words.
	Progress func(string)

	// Platform, Fabric and Record are valid after Start.
	Platform *gdplatsim.Platform
	Fabric   *gdfabric.Fabric
	Record   *gdupstreamsim.Record

	mu         sync.Mutex
	dir        string
	authority  *authority
	network    network
	deployment config.Deployment
	upstreams  map[string]*gdupstreamsim.Upstream
	processes  map[string]*Process
	balancers  []gdfabric.Balancer
	started    int // balancers started so far
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// ServiceAddr is one service with its public address.
type ServiceAddr struct {
	Name string
	Addr netip.AddrPort
}

// Start starts everything and waits until each service gives its first answer.
// On an error everything is stopped again.
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
	if err := r.secrets(); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{r.startFabric, r.startUpstreams, r.startPlatform} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return r.startProcesses()
}

// Stop ends the children and the stand-ins and removes the temporary directory.
func (r *Rig) Stop() {
	r.mu.Lock()
	processes := lo.Values(r.processes)
	r.mu.Unlock()
	for _, p := range processes {
		p.Terminate()
	}
	for _, p := range processes {
		p.WaitOrKill(endTimeout)
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

// CAFile returns the file with the certificate authority that callers trust.
func (r *Rig) CAFile() string { return r.authority.caFile() }

// Dir returns the temporary directory.
func (r *Rig) Dir() string { return r.dir }

// Deployment returns the deployment as it was published last.
func (r *Rig) Deployment() config.Deployment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deployment
}

// Upstream returns the stand-in of the named upstream, or nil.
func (r *Rig) Upstream(name string) *gdupstreamsim.Upstream { return r.upstreams[name] }

// Processes returns the processes that the rig has started and not replaced, in
// the order of their names.
func (r *Rig) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.processes), func(a, b *Process) int {
		return cmp.Compare(a.Name(), b.Name())
	})
}

func (r *Rig) progress(words string) {
	if r.Progress != nil {
		r.Progress(words)
	}
}

// run runs a stand-in until the rig stops.
func (r *Rig) run(ctx context.Context, name string, f func(context.Context) error) {
	r.wg.Go(func() {
		if err := f(ctx); err != nil {
			r.progress(name + " failed: " + err.Error())
		}
	})
}

func (r *Rig) secrets() error {
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

// FleetKeyFile returns the file with the fleet key.
func (r *Rig) FleetKeyFile() string { return filepath.Join(r.dir, "fleet.key") }

// awaitServices waits until each service has answered a probe.
func (r *Rig) awaitServices(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
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
