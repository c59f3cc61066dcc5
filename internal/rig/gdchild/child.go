// Package gdchild runs the product's programs as child processes of the rig.
//
// # Usage
//
//	c, err := gdchild.Start("agent-1", "agent-1.log", "bin/godwitdrift", "agent", "--settings", file)
//	...
//	c.Terminate()
//	c.WaitOrKill(5 * time.Second)
//
// Children are killed when the rig exits, even if the rig is killed. They run in process
// groups of their own, so an interrupt at the terminal reaches only the rig, which must
// stop its children.
package gdchild

import (
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// logMode is the file mode of the log files.
const logMode = 0o600

// Child is a child process.
type Child struct {
	name     string
	logFile  string
	logSize  int64 // that of the log file before the start
	cmd      *exec.Cmd
	done     chan struct{}
	expected atomic.Bool // the rig has stopped the process
}

// Start starts a program and appends its output to the log file.
func Start(name, logFile, binary string, args ...string) (*Child, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the log file of "+name)
	}
	defer out.Close()
	before, err := out.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "size of the log file of "+name)
	}
	c := &Child{name: name, logFile: logFile, logSize: before.Size(), cmd: exec.Command(binary, args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	return c, nil
}

// Name returns the process's name.
func (c *Child) Name() string { return c.name }

// LogFile returns the name of the file with the process's output.
func (c *Child) LogFile() string { return c.logFile }

// HasLogged reports whether the process has written to its log: its own code runs. Before that,
// a signal has the default action, whatever the program does.
func (c *Child) HasLogged() (bool, error) {
	info, err := os.Stat(c.logFile)
	if err != nil {
		return false, errors.Wrap(err, "size of the log file of "+c.name)
	}
	return info.Size() > c.logSize, nil
}

// Done returns a channel that is closed when the process has exited.
func (c *Child) Done() <-chan struct{} { return c.done }

// Signal sends a signal to the process.
func (c *Child) Signal(s syscall.Signal) error {
	return errors.Wrap(c.cmd.Process.Signal(s), "signal "+c.name)
}

// Kill kills the process and waits until it has exited.
func (c *Child) Kill() {
	c.expected.Store(true)
	_ = c.cmd.Process.Kill()
	<-c.done
}

// Terminate sends the process SIGTERM and does not wait for it.
func (c *Child) Terminate() {
	c.expected.Store(true)
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
}

// WaitOrKill waits until the process has exited, and kills it after the timeout.
func (c *Child) WaitOrKill(timeout time.Duration) {
	select {
	case <-c.done:
	case <-time.After(timeout):
		c.Kill()
	}
}

// Status describes how the process exited. It must only be called after Done is closed.
func (c *Child) Status() string { return c.cmd.ProcessState.String() }

// Exited reports whether the process has exited, and whether the rig had stopped it before.
func (c *Child) Exited() (exited, expected bool) {
	select {
	case <-c.done:
		return true, c.expected.Load()
	default:
		return false, false
	}
}
