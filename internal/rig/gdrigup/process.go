package gdrigup

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// nodeSettings are the settings file of a balancer or an agent.
type nodeSettings struct {
	Name            string   `toml:"name"`
	Domain          string   `toml:"domain"`
	NodeAddress     string   `toml:"node-address"`
	OperatorAddress string   `toml:"operator-address"`
	Platform        string   `toml:"platform"`
	FleetKeyFile    string   `toml:"fleet-key-file"`
	LogLevel        string   `toml:"log-level"`
	Peers           []string `toml:"peers,omitempty"`
	ListenHost      string   `toml:"listen-host,omitempty"`
	UpstreamID      uint32   `toml:"upstream-id,omitempty"`
	UpstreamURL     string   `toml:"upstream-url,omitempty"`
	HealthPath      string   `toml:"health-path,omitempty"`
	CertFile        string   `toml:"cert-file,omitempty"`
	KeyFile         string   `toml:"key-file,omitempty"`
	MaxFlows        int      `toml:"max-flows,omitempty"`
}

// Process is one balancer or agent that the rig has started.
type Process struct {
	role     string
	settings nodeSettings
	cmd      *exec.Cmd
	log      string
	ended    chan struct{}
	wanted   atomic.Bool // the rig has ended it
}

// Name returns the process's name.
func (p *Process) Name() string { return p.settings.Name }

// Role returns "balancer" or "agent".
func (p *Process) Role() string { return p.role }

// Domain returns the process's failure domain.
func (p *Process) Domain() string { return p.settings.Domain }

// OperatorAddress returns the address of its operator port.
func (p *Process) OperatorAddress() string { return p.settings.OperatorAddress }

// LogFile returns the file that gets the process's output.
func (p *Process) LogFile() string { return p.log }

// start writes the settings file and starts the process.
func start(binary, dir, role string, s nodeSettings) (*Process, error) {
	data, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings of "+s.Name)
	}
	file := filepath.Join(dir, s.Name+".toml")
	if err := os.WriteFile(file, data, secretMode); err != nil {
		return nil, errors.Wrap(err, "write settings of "+s.Name)
	}
	p := &Process{role: role, settings: s, log: filepath.Join(dir, s.Name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, secretMode)
	if err != nil {
		return nil, errors.Wrap(err, "open log of "+s.Name)
	}
	defer out.Close()
	p.cmd = exec.Command(binary, role, "--settings", file)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	// An interrupt at the terminal goes to the rig alone, which ends its children.
	// They end with the rig, also when it is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+s.Name)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	_ = p.cmd.Wait()
	close(p.ended)
}

// Signal sends the signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrap(p.cmd.Process.Signal(s), "signal "+p.Name())
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Terminate asks the process to end and does not wait for it.
func (p *Process) Terminate() {
	p.wanted.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// end waits for the process and kills it after the limit.
func (p *Process) end(limit time.Duration) {
	select {
	case <-p.ended:
	case <-time.After(limit):
		p.Kill()
	}
}

// Exited reports whether the process has ended, and whether the rig wanted it.
func (p *Process) Exited() (ended, wanted bool) {
	select {
	case <-p.ended:
		return true, p.wanted.Load()
	default:
		return false, false
	}
}
