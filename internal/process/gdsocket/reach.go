package gdsocket

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// reachTimeout is the time that a host has to respond: many round trips between
	// failure domains, and two of the attempts on a link that loses packets.
	reachTimeout = 200 * time.Millisecond
	// reachAttempts is the number of connections that are tried, since the kernel repeats
	// the first packet of one only after a second.
	reachAttempts = 4
	// beatInterval is the interval at which a probe checks that this process runs.
	beatInterval = 10 * time.Millisecond
	// maxStall is how long this process may not have run during a probe. A probe without a
	// response says nothing if the process itself missed half of it.
	maxStall = reachTimeout / 2
)

// Reachability is what is known of a host after a probe.
type Reachability uint8

const (
	// Unknown means that this process did not run for most of the probe.
	Unknown Reachability = iota
	// Responsive means that the host has responded.
	Responsive
	// Unresponsive means that the host has not responded in time.
	Unresponsive
)

// Reach tries to open a TCP connection to the address within reachTimeout. A refusal is a
// response: no process listens there, but the host runs.
func Reach(ctx context.Context, at netip.AddrPort) Reachability {
	p := pulse{last: time.Now()}
	beats := time.NewTicker(beatInterval)
	defer beats.Stop()
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	responses := make(chan bool, reachAttempts)
	for i := range reachAttempts {
		time.AfterFunc(time.Duration(i)*reachTimeout/reachAttempts, func() { responses <- responds(ctx, at) })
	}
	for ended := 0; ended < reachAttempts; {
		select {
		case responded := <-responses:
			if responded {
				return Responsive
			}
			ended++
		case <-beats.C:
			p.beat(time.Now())
		}
	}
	p.beat(time.Now())
	if p.longest > maxStall {
		return Unknown
	}
	return Unresponsive
}

// pulse measures how long this process did not run.
type pulse struct {
	last    time.Time
	longest time.Duration
}

func (p *pulse) beat(now time.Time) {
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
}

func responds(ctx context.Context, at netip.AddrPort) bool {
	if ctx.Err() != nil {
		return false
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", at.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // only the response counts
	return true
}
