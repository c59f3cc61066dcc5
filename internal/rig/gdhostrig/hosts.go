package gdhostrig

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdchild"
	"godwitdrift.example/godwitdrift/internal/rig/gdfaultproxy"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The roles of hosts. They are also the commands of the program.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// readyProbeInterval and readyProbeTimeout are the interval and the timeout of the
	// routers' readiness probes of an entry host.
	readyProbeInterval = 500 * time.Millisecond
	readyProbeTimeout  = 400 * time.Millisecond
	// maxFailedProbes is the number of failed probes in a row after which the routers
	// send a host no more packets.
	maxFailedProbes = 2
	// startAllowance is how long a process may take to start. watchHosts starts a killed
	// process again within readyProbeInterval.
	startAllowance = 300 * time.Millisecond
	// settingsMode is the file mode of settings files.
	settingsMode = 0o600
)

// Host is a simulated machine with one process of the product.
type Host struct {
	name, role, domain string
	addr, proxyAddr    netip.Addr
	child              *gdchild.Child
	upstream           *Upstream
	storeProxy         gdfaultproxy.StreamProxy // to the store; only entry hosts have one
	failedProbes       int
	paused             bool
	removed            bool
}

func (h *Host) internalAddr() netip.AddrPort { return netip.AddrPortFrom(h.addr, firstInternalPort) }

// Domain returns the failure domain of the host.
func (h *Host) Domain() string { return h.domain }

// StoreProxy returns the proxy of an entry host's connections to the store.
func (h *Host) StoreProxy() *gdfaultproxy.StreamProxy { return &h.storeProxy }

// SetDatagramFaults sets the faults of the datagrams between the host and other hosts.
func (r *Rig) SetDatagramFaults(h *Host, f gdfaultproxy.DatagramFaults) {
	r.datagramProxy.SetFaults(h.internalAddr(), f)
}

// AddEntry adds an entry host.
func (r *Rig) AddEntry(now time.Time, domain string) (*Host, error) {
	n := r.nextNumber(entryNet)
	h := &Host{
		name: "entry-" + strconv.Itoa(int(n)), role: RoleEntry, domain: domain,
		addr: r.addr(entryNet, n), proxyAddr: r.addr(entryProxyNet, n),
	}
	store := &gdlisten.HTTP{Host: r.addr(storeNet, n).String()}
	if err := store.Listen(); err != nil {
		return nil, errors.Wrap(err, "start the store's listener")
	}
	go func() {
		if err := store.Serve(r.ctx, r.store.Handler(h.name)); err != nil {
			r.post(func(at time.Time) { r.observe(Event{At: at, Kind: RigError, Text: err.Error()}) })
		}
	}()
	h.storeProxy.Target = store.Addr()
	if err := h.storeProxy.Listen(netip.AddrPortFrom(r.addr(storeNet, n), 0)); err != nil {
		return nil, err
	}
	// The routers send the host no packets until a probe succeeds.
	h.failedProbes = maxFailedProbes
	return h, r.addHost(now, h)
}

func (r *Rig) addHost(now time.Time, h *Host) error {
	r.hosts = append(r.hosts, h)
	r.names[h.addr] = h.name
	if err := r.datagramProxy.Add(h.internalAddr(), netip.AddrPortFrom(h.proxyAddr, firstInternalPort)); err != nil {
		return err
	}
	if err := r.writeSettings(h); err != nil {
		return err
	}
	return r.startProcess(now, h)
}

func (r *Rig) settingsFile(h *Host) string { return filepath.Join(r.Dir, h.name+".conf") }

func (r *Rig) writeSettings(h *Host) error {
	s := platformsim.Settings{
		Name: h.name, Domain: h.domain, IP: h.addr, CallerPort: callerPort, ReadyPort: readyPort,
		InternalPorts: [2]uint16{firstInternalPort, lastInternalPort}, GracePeriod: GracePeriod, FirstStart: r.firstStart, StoreAddress: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	for i := range byte(seedHosts) {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(r.addr(entryNet, i+1), controlPort))
	}
	if h.role == RoleEntry {
		s.StoreAddress = h.storeProxy.Addr()
	}
	if u := h.upstream; u != nil {
		s.Service, s.UpstreamAddress = u.Service, netip.AddrPortFrom(h.addr, upstreamPort)
		s.OutboundAddress = netip.AddrPortFrom(h.addr, outboundPort)
	}
	return errors.Wrapf(os.WriteFile(r.settingsFile(h), []byte(s.Text()), settingsMode), "write settings of %s", h.name)
}

func (r *Rig) startProcess(now time.Time, h *Host) error {
	c, err := gdchild.Start(h.name, filepath.Join(r.Dir, h.name+".log"), r.Binary, h.role, "--settings", r.settingsFile(h))
	if err != nil {
		return err
	}
	h.child, h.paused = c, false
	r.observe(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "start"})
	return nil
}

// watchHosts restarts processes that have exited and probes entry hosts. It repeats this
// every readyProbeInterval.
func (r *Rig) watchHosts(now time.Time) {
	for _, h := range r.hosts {
		exited, expected := h.child.Exited()
		if exited && !h.removed {
			if !expected {
				r.observe(Event{At: now, Kind: ProcessExited, Host: h.name, Text: h.child.Status()})
			}
			if err := r.startProcess(now, h); err != nil {
				r.observe(Event{At: now, Kind: ProcessExited, Host: h.name, Text: err.Error()})
			}
		}
		if h.role == RoleEntry && !h.removed {
			go r.probeReady(h)
		}
	}
	r.After(readyProbeInterval, r.watchHosts)
}

// probeReady probes whether an entry host is ready.
func (r *Rig) probeReady(h *Host) {
	ctx, cancel := context.WithTimeout(r.ctx, readyProbeTimeout)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(h.addr, readyPort).String() + "/ready"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	ok := false
	if err == nil {
		var res *http.Response
		if res, err = http.DefaultClient.Do(req); err == nil {
			ok = res.StatusCode == http.StatusOK
			err = res.Body.Close()
		}
	}
	r.post(func(time.Time) {
		if ok && err == nil {
			h.failedProbes = 0
		} else {
			h.failedProbes++
		}
	})
}

// pickEntryHost returns the entry host to which the routers of a failure domain send a
// flow's packets, or nil. They hash over the domain's ready hosts, over all its hosts if
// fewer than half are ready, and over the ready hosts of other domains if none is.
func (r *Rig) pickEntryHost(domain string, hash uint64) *Host {
	var local, ready, remote []*Host
	for _, h := range r.Hosts(RoleEntry) {
		switch {
		case h.domain != domain && h.failedProbes < maxFailedProbes:
			remote = append(remote, h)
		case h.domain != domain:
		case h.failedProbes < maxFailedProbes:
			local, ready = append(local, h), append(ready, h)
		default:
			local = append(local, h)
		}
	}
	switch {
	case len(ready) == 0:
		ready = remote
	case 2*len(ready) < len(local):
		ready = local
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[hash%uint64(len(ready))]
}

// Kill kills a host's process. watchHosts restarts it.
func (r *Rig) Kill(now time.Time, h *Host) {
	r.ReportFault(now, h, "kill", startAllowance+readyProbeInterval, nil)
	h.child.Kill()
}

// Terminate sends a host's process SIGTERM and kills it if it still runs after
// GracePeriod. watchHosts restarts it.
func (r *Rig) Terminate(now time.Time, h *Host) {
	r.observe(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "terminate"})
	h.child.Terminate()
	child := h.child
	go child.WaitOrKill(GracePeriod)
}

// Pause suspends a host's process for the duration d.
func (r *Rig) Pause(now time.Time, h *Host, d time.Duration) {
	if h.paused {
		return
	}
	h.paused = true
	child := h.child
	r.signal(now, h, child, syscall.SIGSTOP)
	r.ReportFault(now, h, "pause", d, func(now time.Time) {
		r.signal(now, h, child, syscall.SIGCONT)
		if child == h.child {
			h.paused = false
		}
	})
}

// Hangup sends a host's process SIGHUP, on which it reloads its settings, if its own code runs.
// The kernel ends a process that is still being loaded.
func (r *Rig) Hangup(now time.Time, h *Host) {
	started, err := h.child.HasLogged()
	switch {
	case err != nil:
		r.observe(Event{At: now, Kind: RigError, Host: h.name, Text: err.Error()})
	case started:
		r.signal(now, h, h.child, syscall.SIGHUP)
	}
}

func (r *Rig) signal(now time.Time, h *Host, c *gdchild.Child, s syscall.Signal) {
	if exited, _ := c.Exited(); exited {
		return
	}
	if err := c.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.observe(Event{At: now, Kind: RigError, Host: h.name, Text: err.Error()})
	}
}

// ReportFault reports the start of a fault at a host, or at the store if h is nil. After
// the duration d it calls end, unless that is nil, and reports the end of the fault.
func (r *Rig) ReportFault(now time.Time, h *Host, text string, d time.Duration, end func(now time.Time)) {
	name := h.nameOr("")
	r.observe(Event{At: now, Kind: FaultStarted, Host: name, Text: text})
	r.After(d, func(now time.Time) {
		if end != nil {
			end(now)
		}
		r.observe(Event{At: now, Kind: FaultEnded, Host: name, Text: text})
	})
}

// nameOr returns the host's name, or the text none if h is nil.
func (h *Host) nameOr(none string) string {
	if h == nil {
		return none
	}
	return h.name
}

// removeHost removes a host from the deployment and terminates its process. The datagram
// proxy forwards the host's datagrams until the process has exited.
func (r *Rig) removeHost(now time.Time, h *Host) {
	h.removed = true
	r.observe(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "remove"})
	h.child.Terminate()
	child := h.child
	go func() {
		child.WaitOrKill(GracePeriod)
		r.post(func(time.Time) {
			if err := r.datagramProxy.Remove(h.internalAddr()); err != nil {
				r.observe(Event{Kind: RigError, Host: h.name, Text: err.Error()})
			}
		})
	}()
}

// stop kills the host's process and closes its upstream and proxy, at the end of the run.
func (h *Host) stop() {
	h.removed = true
	if h.child != nil {
		h.child.Kill()
	}
	if h.upstream != nil {
		h.upstream.close()
	}
	if h.storeProxy.Target.IsValid() {
		_ = h.storeProxy.Close() // an error doesn't matter at the end of the run
	}
}
