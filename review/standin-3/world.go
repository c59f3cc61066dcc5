package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
	"godwitdrift.example/godwitdrift/platform/platformsim"
)

// The ports of the processes, as in the example of the settings.
const (
	callerPort        = 8172
	readyPort         = 8167
	controlPort       = 8166
	outboundPort      = 8170
	appPort           = 8080
	firstInternalPort = 7720
	lastInternalPort  = 7735
)

// The third byte of an address says what it is for.
const (
	entryNet = iota + 1
	sideNet
	callerNet
	storeNet
	routeNet // of the routes, in packets only: nothing is sent there
)

// The bounds of the sites, in time.
const (
	heartbeat   = 1200 * time.Millisecond
	drainTime   = 3 * time.Second
	gracePeriod = 6 * time.Second
	historyTime = 20 * time.Second
	readyWait   = 15 * time.Second
)

// world is a deployment with its stand-ins. All of them run with mu locked.
type world struct {
	mu      sync.Mutex
	start   time.Time
	dir     string
	binary  string
	network *gdlisten.Network
	store   *platformsim.Store
	server  *gdlisten.HTTP
	stop    context.CancelFunc
	ctx     context.Context
	config  gddiscovery.Config
	procs   []*process
	targets []*target
	callers *callers
	file    *os.File
	out     *bufio.Writer
	failed  error
	flushed bool
}

// process is one gdhost process on a machine of its own.
type process struct {
	name string
	ip   netip.Addr
	role string
	cmd  *exec.Cmd
	done chan struct{}
	// misses counts the readiness checks in a row that it has missed.
	misses int
}

func newWorld(record, binary string) (*world, error) {
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, binary: binary, file: file, out: bufio.NewWriter(file)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	if w.network, err = gdlisten.ClaimNetwork(); err != nil {
		return nil, err
	}
	w.store = platformsim.NewStore(historyTime)
	w.server = &gdlisten.HTTP{Host: w.network.Addr(storeNet, 1).String()}
	if err := w.server.Listen(); err != nil {
		return nil, err
	}
	go func() { _ = w.server.Serve(w.ctx, w.store.Handler("")) }() // ends with the context
	w.callers, err = newCallers(w)
	return w, err
}

func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.closeSockets()
	}
	_, _, _ = w.callers.conn.Close(), w.network.Close(), w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// record writes a line with the time since the start.
func (w *world) record(format string, args ...any) {
	if w.flushed {
		return
	}
	fmt.Fprintf(w.out, "%9.4f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// flush writes the record to its file. Nothing is recorded after it.
func (w *world) flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flushed = true
	return w.out.Flush()
}

// do calls f with mu locked.
func (w *world) do(f func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(time.Now())
}

// after calls f with mu locked after the duration.
func (w *world) after(d time.Duration, f func(now time.Time)) {
	time.AfterFunc(d, func() { w.do(f) })
}

func (w *world) processError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// configure writes the configuration to the store.
func (w *world) configure(now time.Time) {
	w.config.Version += 3
	w.store.PutConfig(now, w.config)
	w.record("config version %d acked", w.config.Version)
}

// startProcess starts gdhost with the command of the deploy file.
func (w *world) startProcess(role, zone string, n byte, t *target) (*process, error) {
	kind := byte(entryNet)
	if t != nil {
		kind = sideNet
	}
	p := &process{name: fmt.Sprintf("%s-%s-%d", role, zone, n), ip: w.network.Addr(kind, n), role: role}
	s := platformsim.Settings{
		Name: p.name, Domain: zone, IP: p.ip, CallerPort: callerPort, ReadyPort: readyPort,
		InternalPorts: [2]uint16{firstInternalPort, lastInternalPort}, GracePeriod: gracePeriod, StoreAddress: w.server.Addr(),
		Seeds: []netip.AddrPort{netip.AddrPortFrom(w.network.Addr(entryNet, 1), controlPort)},
	}
	if t != nil {
		s.Service, s.UpstreamAddress, s.OutboundAddress = t.service, netip.AddrPortFrom(p.ip, appPort), netip.AddrPortFrom(p.ip, outboundPort)
	}
	conf := filepath.Join(w.dir, p.name+".conf")
	text := s.Text() + fmt.Sprintf("heartbeat_ms=%d\nbounds.flow_max_s=60\n", heartbeat.Milliseconds())
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		return nil, err
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "GODWITDRIFT_SETTINGS=" + conf}
	if err := p.start(exec.Command(w.binary, role), env); err != nil {
		return nil, err
	}
	w.procs = append(w.procs, p)
	return p, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// startEntries starts an entry process per zone and waits until they are ready.
func (w *world) startEntries(zones ...string) error {
	for i, zone := range zones {
		p, err := w.startProcess("entry", zone, byte(i+1), nil)
		if err != nil {
			return err
		}
		w.callers.entries = append(w.callers.entries, p)
	}
	deadline := time.Now().Add(readyWait)
	for _, p := range w.callers.entries {
		for !p.ready() {
			if time.Now().After(deadline) {
				return errors.New(p.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the process whether routers may send it packets.
func (p *process) ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	res, err := client.Get("http://" + netip.AddrPortFrom(p.ip, readyPort).String() + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// routeAddress returns the address of a route.
func (w *world) routeAddress(port uint16) gdflow.Address {
	return address(netip.AddrPortFrom(w.network.Addr(routeNet, 1), port))
}

func address(a netip.AddrPort) gdflow.Address {
	out, _ := gdflow.AddressFromAddrPort(a) // all addresses are IPv4
	return out
}
