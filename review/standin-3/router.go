package main

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
)

const (
	// checkInterval is the time between two readiness checks, and maxMisses how many of them a
	// process may miss in a row before it is out of rotation.
	checkInterval = 500 * time.Millisecond
	maxMisses     = 2
	// restartDelay is how long it takes until a process is started again.
	restartDelay = 150 * time.Millisecond
)

// logs is where the processes' own logs go.
var logs = flag.String("logs", "", "a folder for the logs of the processes, or none")

// pick returns the entry process to which the routers send the flow's packets: they hash over those
// in rotation, or over all if fewer than half are.
func (c *callers) pick(k gdflow.Key) *process {
	var in []*process
	for _, p := range c.entries {
		if p.misses < maxMisses {
			in = append(in, p)
		}
	}
	if 2*len(in) < len(c.entries) {
		in = c.entries
	}
	return in[k.Hash()%uint64(len(in))]
}

// checkReady plays the routers' readiness checks, at multiples of checkInterval since the start.
func (w *world) checkReady() {
	for n := time.Duration(1); w.ctx.Err() == nil; n++ {
		w.sleepUntil(n * checkInterval)
		w.mu.Lock()
		entries := append([]*process(nil), w.callers.entries...)
		w.mu.Unlock()
		for _, p := range entries {
			go func() {
				ok := p.ready()
				w.do(func(time.Time) { w.note(p, ok) })
			}()
		}
	}
}

func (w *world) note(p *process, ok bool) {
	was := p.misses < maxMisses
	if p.misses++; ok {
		p.misses = 0
	}
	if in := p.misses < maxMisses; in != was {
		w.record("%s in rotation: %t", p.name, in)
	}
}

// roll stops an entry process with SIGTERM and starts it again at the same place.
func (w *world) roll(p *process) {
	w.do(func(time.Time) { w.record("SIGTERM to %s", p.name) })
	p.terminate()
	time.Sleep(restartDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &process{name: p.name, ip: p.ip, role: p.role, misses: maxMisses}
	if err := n.start(exec.Command(p.cmd.Path, p.cmd.Args[1:]...), p.cmd.Env); err != nil {
		w.failed = err
		return
	}
	w.record("%s starts again", p.name)
	for _, list := range [][]*process{w.procs, w.callers.entries} {
		for i := range list {
			if list[i] == p {
				list[i] = n
			}
		}
	}
}

// terminate sends SIGTERM, and kills the process if it has not ended after the grace period.
func (p *process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(gracePeriod):
		p.kill()
	}
}

// start starts the command as the process.
func (p *process) start(cmd *exec.Cmd, env []string) error {
	p.cmd, p.done = cmd, make(chan struct{})
	p.cmd.Env = env
	if *logs != "" {
		out, err := os.OpenFile(filepath.Join(*logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer out.Close()
		p.cmd.Stdout, p.cmd.Stderr = out, out
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}
