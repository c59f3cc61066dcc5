// Package gdchild runs the product's processes as children of the rig.
//
// # Usage
//
//	c, err := gdchild.Start("agent-1", "agent-1.log", "bin/godwitdrift", "agent", "--settings", file)
//	...
//	c.Terminate()
//	c.End(5 * time.Second)
//
// Children end with the rig, also when it is killed. An interrupt at the terminal goes
// to the rig alone, which ends its children.
package gdchild

import (
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// logMode is that of the files with the children's output.
const logMode = 0o600

// Child is a process that the rig has started.
type Child struct {
	name   string
	log    string
	cmd    *exec.Cmd
	ended  chan struct{}
	wanted atomic.Bool // the rig has ended it
}

// Start starts a program whose output is appended to the log file.
func Start(name, log, binary string, args ...string) (*Child, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, errors.Wrap(err, "open log of "+name)
	}
	defer out.Close()
	c := &Child{name: name, log: log, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	go func() {
		_ = c.cmd.Wait()
		close(c.ended)
	}()
	return c, nil
}

// Name returns the process's name.
func (c *Child) Name() string { return c.name }

// LogFile returns the file that gets the process's output.
func (c *Child) LogFile() string { return c.log }

// Done is closed when the process has ended.
func (c *Child) Done() <-chan struct{} { return c.ended }

// Signal sends the signal to the process.
func (c *Child) Signal(s syscall.Signal) error {
	return errors.Wrap(c.cmd.Process.Signal(s), "signal "+c.name)
}

// Kill ends the process at once.
func (c *Child) Kill() {
	c.wanted.Store(true)
	_ = c.cmd.Process.Kill()
	<-c.ended
}

// Terminate asks the process to end and does not wait for it.
func (c *Child) Terminate() {
	c.wanted.Store(true)
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
}

// WaitOrKill waits for the process and kills it after the limit.
func (c *Child) WaitOrKill(limit time.Duration) {
	select {
	case <-c.ended:
	case <-time.After(limit):
		c.Kill()
	}
}

// Status says how the process ended. It is valid after Ended is closed.
func (c *Child) Status() string { return c.cmd.ProcessState.String() }

// Exited reports whether the process has ended, and whether the rig wanted it.
func (c *Child) Exited() (ended, wanted bool) {
	select {
	case <-c.ended:
		return true, c.wanted.Load()
	default:
		return false, false
	}
}
