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

// The roles of hosts, which are the program's commands.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

const (
	// probeInterval and probeTime are how often the routers ask an entry host whether
	// it takes packets, and how long they wait.
	probeInterval = 500 * time.Millisecond
	probeTime     = 400 * time.Millisecond
	// mostMisses is after how many misses a host gets no more packets.
	mostMisses = 2
	// restartTime is how long after its end a process is started again.
	restartTime = 300 * time.Millisecond
	// settingsMode is that of settings files.
	settingsMode = 0o600
)

// Host is a machine with one process of the product.
type Host struct {
	name, role, domain string
	at, seen           netip.Addr
	child              *gdchild.Child
	upstream           *Upstream
	link               gdfaultproxy.StreamProxy // to the store
	misses             int
	paused             bool
	removed            bool
}

func (h *Host) hop() netip.AddrPort { return netip.AddrPortFrom(h.at, hopPort) }

// StoreProxy returns the relay of the host's connections to the store.
func (h *Host) StoreProxy() *gdfaultproxy.StreamProxy { return &h.link }

// SetDatagramFaults sets what happens to the host's datagrams from and to other hosts.
func (r *Rig) SetDatagramFaults(h *Host, f gdfaultproxy.DatagramFaults) {
	r.relay.SetFaults(h.hop(), f)
}

// AddEntry adds an entry host.
func (r *Rig) AddEntry(now time.Time, domain string) (*Host, error) {
	n := r.number(entryNet)
	h := &Host{
		name: "entry-" + strconv.Itoa(int(n)), role: RoleEntry, domain: domain,
		at: r.addr(entryNet, n), seen: r.addr(entrySeenNet, n),
	}
	store := &gdlisten.HTTP{Host: r.addr(storeNet, n).String()}
	if err := store.Listen(); err != nil {
		return nil, errors.Wrap(err, "open the store")
	}
	go func() {
		if err := store.Serve(r.ctx, r.store.Handler(h.name)); err != nil {
			r.post(func(at time.Time) { r.saw(Event{At: at, Kind: FaultStarted, Text: err.Error()}) })
		}
	}()
	h.link.Target = store.Addr()
	if err := h.link.Listen(netip.AddrPortFrom(r.addr(storeNet, n), 0)); err != nil {
		return nil, err
	}
	// Until a probe succeeds the routers send it nothing.
	h.misses = mostMisses
	return h, r.addHost(now, h)
}

func (r *Rig) addHost(now time.Time, h *Host) error {
	r.hosts = append(r.hosts, h)
	r.names[h.at] = h.name
	if err := r.relay.Add(h.hop(), netip.AddrPortFrom(h.seen, hopPort)); err != nil {
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
		Name: h.name, Domain: h.domain, IP: h.at, CallerPort: callersPort, ReadyPort: readyPort,
		InternalPorts: [2]uint16{hopPort, lastPort}, GracePeriod: GracePeriod, FirstStart: r.first, StoreAddress: netip.MustParseAddrPort("127.0.0.1:1"),
	}
	for i := range byte(seedHosts) {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(r.addr(entryNet, i+1), controlPort))
	}
	if h.role == RoleEntry {
		s.StoreAddress = h.link.Addr()
	}
	if u := h.upstream; u != nil {
		s.Service, s.UpstreamAddress = u.Service, netip.AddrPortFrom(h.at, upstreamPort)
		s.OutboundAddress = netip.AddrPortFrom(h.at, outboundPort)
	}
	return errors.Wrapf(os.WriteFile(r.settingsFile(h), []byte(s.Text()), settingsMode), "write settings of %s", h.name)
}

func (r *Rig) startProcess(now time.Time, h *Host) error {
	c, err := gdchild.Start(h.name, filepath.Join(r.Dir, h.name+".log"), r.Binary, h.role, "--settings", r.settingsFile(h))
	if err != nil {
		return err
	}
	h.child, h.paused = c, false
	r.saw(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "start"})
	return nil
}

// watchHosts starts processes again that have ended and probes entry hosts, for as
// long as the rig runs.
func (r *Rig) watchHosts(now time.Time) {
	for _, h := range r.hosts {
		ended, wanted := h.child.Exited()
		if ended && !h.removed {
			if !wanted {
				r.saw(Event{At: now, Kind: ProcessExited, Host: h.name, Text: h.child.Status()})
			}
			if err := r.startProcess(now, h); err != nil {
				r.saw(Event{At: now, Kind: ProcessExited, Host: h.name, Text: err.Error()})
			}
		}
		if h.role == RoleEntry && !h.removed {
			go r.probe(h)
		}
	}
	r.After(probeInterval, r.watchHosts)
}

// probe asks a host whether it takes packets.
func (r *Rig) probe(h *Host) {
	ctx, cancel := context.WithTimeout(r.ctx, probeTime)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(h.at, readyPort).String() + "/ready"
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
			h.misses = 0
		} else {
			h.misses++
		}
	})
}

// route returns the entry host to which the routers of a failure domain send a flow's
// packets, or nil.
func (r *Rig) route(domain string, hash uint64) *Host {
	var here, ready, elsewhere []*Host
	for _, h := range r.Hosts(RoleEntry) {
		switch {
		case h.domain != domain && h.misses < mostMisses:
			elsewhere = append(elsewhere, h)
		case h.domain != domain:
		case h.misses < mostMisses:
			here, ready = append(here, h), append(ready, h)
		default:
			here = append(here, h)
		}
	}
	switch {
	case len(ready) == 0:
		ready = elsewhere
	case 2*len(ready) < len(here):
		ready = here
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[hash%uint64(len(ready))]
}

// Kill ends a host's process at once; it is started again soon.
func (r *Rig) Kill(now time.Time, h *Host) {
	r.ReportFault(now, h, "kill", restartTime+probeInterval, nil)
	h.child.Kill()
}

// Terminate asks a host's process to end and kills it after its time; it is started
// again soon.
func (r *Rig) Terminate(now time.Time, h *Host) {
	r.saw(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "terminate"})
	h.child.Terminate()
	child := h.child
	go child.WaitOrKill(GracePeriod)
}

// Pause stops a host's process for a time.
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

// Hangup tells a host's process that its settings have changed.
func (r *Rig) Hangup(now time.Time, h *Host) { r.signal(now, h, h.child, syscall.SIGHUP) }

func (r *Rig) signal(now time.Time, h *Host, c *gdchild.Child, s syscall.Signal) {
	if ended, _ := c.Exited(); ended {
		return
	}
	if err := c.Signal(s); err != nil {
		r.saw(Event{At: now, Kind: FaultEnded, Host: h.name, Text: err.Error()})
	}
}

// ReportFault tells of trouble at a host, or, with nil, at the store. Some time after, heal
// is called, unless it is nil, and the trouble is over.
func (r *Rig) ReportFault(now time.Time, h *Host, what string, d time.Duration, heal func(now time.Time)) {
	name := h.nameOr("")
	r.saw(Event{At: now, Kind: FaultStarted, Host: name, Text: what})
	r.After(d, func(now time.Time) {
		if heal != nil {
			heal(now)
		}
		r.saw(Event{At: now, Kind: FaultEnded, Host: name, Text: what})
	})
}

// nameOr returns the host's name, or another text for no host.
func (h *Host) nameOr(none string) string {
	if h == nil {
		return none
	}
	return h.name
}

// removeHost takes a host away when its process has ended in order.
func (r *Rig) removeHost(now time.Time, h *Host) {
	h.removed = true
	r.saw(Event{At: now, Kind: PlannedWork, Host: h.name, Text: "remove"})
	h.child.Terminate()
	child := h.child
	go func() {
		child.WaitOrKill(GracePeriod)
		r.post(func(time.Time) {
			if err := r.relay.Remove(h.hop()); err != nil {
				r.saw(Event{Kind: FaultEnded, Host: h.name, Text: err.Error()})
			}
		})
	}()
}

// end ends the host's process at the end of the run.
func (h *Host) end() {
	h.removed = true
	h.child.Kill()
	if h.upstream != nil {
		h.upstream.close()
	}
	if h.link.Target.IsValid() {
		_ = h.link.Close() // the run is over
	}
}
