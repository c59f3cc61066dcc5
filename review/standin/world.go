package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The ports on each machine, and what the third byte of a loopback address stands for.
const (
	datagramPort  = 8172
	readyPort     = 8167
	controlPort   = 8166
	outboundPort  = 8170
	appPort       = 8080
	firstInternal = 7720
	lastInternal  = 7735

	entryNet  = 1
	sideNet   = 2
	clientNet = 3
	storeNet  = 4
)

// The bounds of the users' small deployments.
const (
	stableTime   = 4 * time.Second
	graceTime    = 6 * time.Second
	evacuateTime = 5 * time.Second
	flowMaxTime  = 60 * time.Second
	heartbeat    = 770 * time.Millisecond
	storeHistory = 20 * time.Second
)

// world is a small deployment on loopback addresses: the project's processes, and stand-ins for
// the platform, the requesters and the targets. Its mutex guards all of its state.
type world struct {
	mu        sync.Mutex
	ctx       context.Context
	dir       string
	record    *os.File
	started   time.Time
	network   *gdlisten.Network
	store     *platformsim.Store
	proxy     storeGate
	storeAt   netip.AddrPort
	config    gddiscovery.Config
	lastEntry byte
	machines  []*machine
	targets   []*target
	clients   *clients
	broken    []string
}

// machine is a machine with one process of the project.
type machine struct {
	name, role, zone string
	ip               netip.Addr
	service          string
	cmd              *exec.Cmd
	exited           chan struct{}
	misses           int // consecutive failed readiness probes
}

// storeGate lets requests through to the store, or answers them with 503.
type storeGate struct {
	mu   sync.Mutex
	down bool
	next http.Handler
}

func (g *storeGate) set(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	down := g.down
	g.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.next.ServeHTTP(w, r)
}

func newWorld(ctx context.Context, dir, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	n, err := gdlisten.ClaimNetwork()
	if err != nil {
		return nil, err
	}
	w := &world{ctx: ctx, dir: dir, record: f, started: time.Now(), network: n, store: platformsim.NewStore(storeHistory)}
	w.proxy.next = w.store.Handler("")
	server := &gdlisten.HTTP{Host: n.Addr(storeNet, 1).String()}
	if err := server.Listen(); err != nil {
		return nil, err
	}
	w.storeAt = server.Addr()
	go func() {
		if err := server.Serve(ctx, &w.proxy); err != nil {
			w.log("stand-in: %v", err)
		}
	}()
	w.clients, err = newClients(w, n.Addr(clientNet, 1))
	return w, err
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f  "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// fail records that a rule is broken.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.log("BROKEN %s", text)
}

// now returns the time since the start of the run.
func (w *world) now() time.Duration { return time.Since(w.started) }

// sleepUntil waits until the time since the start of the run.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// after calls f after the duration, with mu locked.
func (w *world) after(d time.Duration, f func(now time.Time)) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ctx.Err() == nil {
			f(time.Now())
		}
	})
}

func (w *world) addEntries(zones ...string) error {
	for _, z := range zones {
		w.mu.Lock()
		w.lastEntry++
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", z, w.lastEntry), role: "entry", zone: z, ip: w.network.Addr(entryNet, w.lastEntry), misses: 2}
		w.machines = append(w.machines, m)
		err := w.start(m)
		w.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of a machine, in the platform's format.
func (w *world) writeSettings(m *machine) (string, error) {
	s := platformsim.Settings{
		Name: m.name, Domain: m.zone, IP: m.ip, CallerPort: datagramPort, ReadyPort: readyPort,
		InternalPorts: [2]uint16{firstInternal, lastInternal}, GracePeriod: graceTime, FirstStart: w.now() < time.Second, StoreAddress: w.storeAt,
	}
	for i := range byte(3) {
		s.Seeds = append(s.Seeds, netip.AddrPortFrom(w.network.Addr(entryNet, i+1), controlPort))
	}
	class := "frontend"
	if m.role == "agent" {
		class = "side"
		s.Service, s.UpstreamAddress, s.OutboundAddress = m.service, netip.AddrPortFrom(m.ip, appPort), netip.AddrPortFrom(m.ip, outboundPort)
	}
	text := s.Text() + fmt.Sprintf("role=%s\nmachine_class=%s\nip=%s\nregion=r\nhash=mod\ndeployment_mode=agent\ndiscovery=platform\nheartbeat_ms=%d\n"+
		"bounds.stable_ms=%d\nbounds.evacuate_ms=%d\nbounds.flow_max_s=%d\n",
		m.role, class, m.ip, heartbeat.Milliseconds(), stableTime.Milliseconds(), evacuateTime.Milliseconds(), int(flowMaxTime.Seconds()))
	path := filepath.Join(w.dir, m.name+".conf")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine) error {
	settings, err := w.writeSettings(m)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/gdhost", m.role)
	cmd.Env = append(os.Environ(), "GODWITDRIFT_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.misses = cmd, exited, 2
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.log("machine %s: process started", m.name)
	return nil
}

// kill kills the process of a machine.
func (w *world) kill(m *machine) {
	_ = m.cmd.Process.Kill()
	<-m.exited
	w.log("machine %s: process killed", m.name)
}

// stop ends all processes.
func (w *world) stop() {
	for _, m := range w.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
}

// probeReady probes the readiness of the entry hosts twice a second, as the routers do.
func (w *world) probeReady() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for w.ctx.Err() == nil {
		w.mu.Lock()
		machines := slices.Clone(w.machines)
		w.mu.Unlock()
		for _, m := range machines {
			if m.role == "entry" {
				go w.probe(client, m)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (w *world) probe(client *http.Client, m *machine) {
	res, err := client.Get("http://" + netip.AddrPortFrom(m.ip, readyPort).String() + "/ready")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	was := m.misses < 2
	m.misses++
	if ok {
		m.misses = 0
	}
	if is := m.misses < 2; is != was {
		w.log("platform: %s in rotation: %t", m.name, is)
	}
}

// rotation returns the entry hosts in rotation.
func (w *world) rotation() []*machine {
	var in, all []*machine
	for _, m := range w.machines {
		if m.role != "entry" {
			continue
		}
		all = append(all, m)
		if m.misses < 2 {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// awaitReady waits until all entry hosts are in rotation.
func (w *world) awaitReady() error {
	go w.probeReady()
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		ready := 0
		for _, m := range w.machines {
			if m.role == "entry" && m.misses == 0 {
				ready++
			}
		}
		all := len(w.rotation())
		w.mu.Unlock()
		if ready > 0 && ready == all {
			return nil
		}
	}
	return fmt.Errorf("the entry hosts are not ready after 10 s")
}

// putConfig writes a configuration, as the operator does.
func (w *world) putConfig(c gddiscovery.Config) {
	w.config = c
	w.store.PutConfig(time.Now(), c)
	var names []string
	for _, r := range c.Routes {
		if !strings.HasPrefix(r.Name, "r-") {
			names = append(names, r.Name)
		}
	}
	w.log("operator: configuration %d acknowledged, idle_timeout_ms %d, %d routes, among them %s", c.Version, c.IdleTimeout.Milliseconds(), len(c.Routes), strings.Join(names, " "))
}

// route returns a route of the address 198.18.0.1.
func route(name string, port uint16, service string, idempotent bool) gddiscovery.Route {
	return gddiscovery.Route{
		Name: name, Address: gdflow.AddressFrom([4]byte{198, 18, 0, 1}, port), Shares: []gddiscovery.Share{{Service: service, Weight: 1}},
		Priority: 1, LatencyObjective: 200 * time.Millisecond, Timeout: time.Second, Idempotent: idempotent,
	}
}
