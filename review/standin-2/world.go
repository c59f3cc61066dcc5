package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The ports on each machine.
const (
	callerPort   = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	hopPort      = 7720
)

// The third byte of an address says what it is for.
const (
	entryNet = iota + 1
	sideNet
	callerNet
	storeNet
	routeNet
)

// The times of the sites' sheets.
const (
	stableTime   = 4 * time.Second
	historyTime  = 20 * time.Second
	heartbeat    = 1200 * time.Millisecond
	readyPeriod  = 500 * time.Millisecond
	readyMisses  = 2
	restartDelay = 500 * time.Millisecond
)

// world is a deployment with everything around it. Its fields are guarded by mu.
type world struct {
	dir     string
	trouble bool
	started time.Time
	network *gdlisten.Network
	store   *platformsim.Store
	address netip.AddrPort // of the store
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	record   io.Writer
	machines []*machine
	targets  []*target
	callers  *callers
	version  int
	arrivals []arrival
	probedAt time.Time // the last readiness checks
	away     bool      // the store is
}

// machine is a machine with one process of the system.
type machine struct {
	w           *world
	name        string
	role, class string
	zone        string
	ip          netip.Addr
	target      *target
	cmd         *exec.Cmd
	exited      chan struct{}
	misses      int
	stopping    bool
	downUntil   time.Time // it has no power
}

func newWorld(dir string, record io.Writer, trouble bool) (*world, error) {
	n, err := gdlisten.ClaimNetwork()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: trouble, started: time.Now(), network: n, record: record}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.store = platformsim.NewStore(historyTime)
	l, err := net.Listen("tcp4", netip.AddrPortFrom(n.Addr(storeNet, 1), 0).String())
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().(*net.TCPAddr).AddrPort()
	srv := &http.Server{Handler: w.store.Handler(""), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
	w.callers, err = newCallers(w)
	return w, err
}

// note writes a line to the record.
func (w *world) note(kind, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(kind, format, args...)
}

func (w *world) noteLocked(kind, format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f %-9s %s\n", time.Since(w.started).Seconds(), kind, fmt.Sprintf(format, args...))
}

// routeAddress returns the address and port of a route.
func (w *world) routeAddress(port uint16) gdflow.Address {
	return gdflow.AddressFrom(w.network.Addr(routeNet, 1).As4(), port)
}

// route is a route of a configuration.
type route struct {
	name, service, kind   string
	port                  uint16
	priority, aim, expiry int
}

// configure writes a new configuration.
func (w *world) configure(services []map[string]any, routes ...route) {
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "hostname": w.network.Addr(routeNet, 1).String(), "prefix": fmt.Sprintf("/%d/", r.port),
			"service": r.service, "type": r.kind, "timeout_ms": r.expiry, "aim_ms": r.aim, "priority": r.priority, "max_attempts": 3,
		})
	}
	w.mu.Lock()
	w.version += 3
	version := w.version
	w.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services, "limits": map[string]any{"idle_timeout_ms": 12000},
	})
	w.store.Put(time.Now(), "op/config", b)
	w.note("operator", "configuration %d with %d routes", version, len(routes))
}

// service returns a service of a configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "warmup_s": 6, "warmup_per_s": 20}
}

// addEntry adds a frontend machine. Start starts its process.
func (w *world) addEntry(zone string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := byte(1)
	for _, m := range w.machines {
		if m.role == "entry" {
			n++
		}
	}
	m := &machine{w: w, name: fmt.Sprintf("entry-%d", n), role: "entry", class: "frontend", zone: zone, ip: w.network.Addr(entryNet, n), misses: readyMisses}
	w.machines = append(w.machines, m)
	return m
}

// addSide adds a side machine for a target.
func (w *world) addSide(t *target) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{w: w, name: "side-" + t.id, role: "agent", class: "side", zone: t.zone, ip: t.ip, target: t}
	w.machines = append(w.machines, m)
	t.machine = m
	return m
}

// settings returns the text of the machine's settings file.
func (m *machine) settings() string {
	var b bytes.Buffer
	line := func(name string, value any) { fmt.Fprintf(&b, "%s=%v\n", name, value) }
	n := m.w.network
	line("node_name", m.name)
	line("role", m.role)
	line("machine_class", m.class)
	line("ip", m.ip)
	line("zone", m.zone)
	line("region", "bizkaia")
	line("listen.datagram_addr", netip.AddrPortFrom(m.ip, callerPort))
	line("listen.ready", netip.AddrPortFrom(m.ip, readyPort))
	line("internal_ports", "7720,7735")
	line("seeds", fmt.Sprintf("%s:%d,%s:%d,%s:%d", n.Addr(entryNet, 1), controlPort, n.Addr(entryNet, 2), controlPort, n.Addr(entryNet, 3), controlPort))
	line("bootstrap", m.exited == nil) // its first start
	line("limits.link_mbps", "1000.0")
	line("heartbeat_ms", heartbeat.Milliseconds())
	line("bounds.stable_ms", stableTime.Milliseconds())
	line("bounds.grace_s", 6)
	line("bounds.flow_max_s", 60)
	line("bounds.reorder_ms", 2000)
	line("hash", "mod")
	line("deployment_mode", "agent")
	line("platform.address", m.w.address)
	if m.role == "entry" {
		line("serves", "frontend,control_plane")
		line("listen.control", netip.AddrPortFrom(m.ip, controlPort))
		return b.String()
	}
	line("serves", "side")
	line("listen.outbound", netip.AddrPortFrom(m.ip, outboundPort))
	line("app", netip.AddrPortFrom(m.ip, appPort))
	line("service", m.target.service)
	return b.String()
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	conf := filepath.Join(m.w.dir, m.name+".conf")
	if err := os.WriteFile(conf, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.cmd = exec.Command("target/gdhost", m.role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITDRIFT_SETTINGS=" + conf}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.w.noteLocked("platform", "%s starts", m.name)
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
		m.w.note("platform", "%s has ended: %s", m.name, cmd.ProcessState)
		m.w.mu.Lock()
		wait := max(restartDelay, time.Until(m.downUntil))
		m.w.mu.Unlock()
		time.Sleep(wait)
		m.w.mu.Lock()
		again := !m.stopping
		m.w.mu.Unlock()
		if again {
			if err := m.start(); err != nil {
				m.w.note("platform", "%s does not start: %v", m.name, err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal, text string) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.w.noteLocked("platform", "%s gets %s", m.name, text)
	_ = m.cmd.Process.Signal(s)
}

// remove ends the machine's process for good.
func (m *machine) remove() {
	m.w.mu.Lock()
	m.stopping = true
	m.w.noteLocked("platform", "%s is removed", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	m.w.mu.Unlock()
}

// stop ends all processes and sockets.
func (w *world) stop() {
	w.mu.Lock()
	var wait []chan struct{}
	for _, m := range w.machines {
		m.stopping = true
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			wait = append(wait, m.exited)
		}
	}
	w.mu.Unlock()
	for _, c := range wait {
		<-c
	}
	for _, t := range w.targets {
		t.close()
	}
	w.cancel()
	_ = w.callers.conn.Close()
	_ = w.network.Close()
}

// startAll starts the processes of all machines.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	go w.probe()
	return nil
}

// probe sends readiness checks to the frontend machines, twice a second.
func (w *world) probe() {
	client := &http.Client{Timeout: readyPeriod - 50*time.Millisecond}
	for w.ctx.Err() == nil {
		w.mu.Lock()
		w.probedAt = time.Now()
		machines := append([]*machine(nil), w.machines...)
		w.mu.Unlock()
		for _, m := range machines {
			if m.role == "entry" {
				go w.probeOne(client, m)
			}
		}
		time.Sleep(readyPeriod)
	}
}

// beforeProbes waits until the next readiness checks are due after the time.
func (w *world) beforeProbes(lead time.Duration) {
	w.mu.Lock()
	at := w.probedAt.Add(readyPeriod - lead)
	w.mu.Unlock()
	if time.Until(at) <= 0 {
		at = at.Add(readyPeriod)
	}
	time.Sleep(time.Until(at))
}

func (w *world) probeOne(client *http.Client, m *machine) {
	res, err := client.Get("http://" + netip.AddrPortFrom(m.ip, readyPort).String() + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	was := m.misses < readyMisses
	m.misses++
	if ok {
		m.misses = 0
	}
	if is := m.misses < readyMisses; is != was {
		w.noteLocked("routers", "%s in rotation: %t", m.name, is)
	}
}

// inRotation returns the frontend machines that get packets.
func (w *world) inRotation() []*machine {
	var ready, all []*machine
	for _, m := range w.machines {
		if m.role != "entry" || m.stopping && m.misses >= readyMisses {
			continue
		}
		all = append(all, m)
		if m.misses < readyMisses {
			ready = append(ready, m)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

// awaitReady waits until all frontend machines are in rotation.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		ready, all := 0, 0
		for _, m := range w.machines {
			if m.role == "entry" {
				all++
				if m.misses < readyMisses {
					ready++
				}
			}
		}
		w.mu.Unlock()
		if ready == all {
			return nil
		}
	}
	return fmt.Errorf("not all frontend machines are ready after %s", limit)
}
