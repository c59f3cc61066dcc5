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
)

// Reachable reports whether the host of an address responds to a TCP connection within
// reachTimeout. A refusal is a response: no process listens there, but the host runs.
func Reachable(ctx context.Context, at netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	responses := make(chan bool, reachAttempts)
	for i := range reachAttempts {
		time.AfterFunc(time.Duration(i)*reachTimeout/reachAttempts, func() { responses <- responds(ctx, at) })
	}
	for range reachAttempts {
		if <-responses {
			return true
		}
	}
	return false
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
