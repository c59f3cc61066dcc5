package gdentry

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdflow"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdsocket"
)

// maxProbes limits the probes of hosts in progress; further ones are not started.
const maxProbes = 32

// probeRequest is a probe that the dispatcher requested.
type probeRequest struct{ host, control gdflow.Address }

// requestProbe passes a probe to runProbes, or drops it if maxProbes wait already.
func (e *EntryHost) requestProbe(host, control gdflow.Address) {
	select {
	case e.probes <- probeRequest{host: host, control: control}:
	default:
	}
}

// runProbes runs the requested probes, each with that of its control.
func (e *EntryHost) runProbes(ctx context.Context) {
	running := make(chan struct{}, maxProbes)
	for {
		var p probeRequest
		select {
		case <-ctx.Done():
			return
		case p = <-e.probes:
		}
		select {
		case running <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-running }()
			e.probe(ctx, p)
		}()
	}
}

func (e *EntryHost) probe(ctx context.Context, p probeRequest) {
	reached := make(chan gdsocket.Reachability, 1)
	go func() { reached <- e.reach(ctx, p.control) }()
	host, control := e.reach(ctx, p.host), <-reached
	if ctx.Err() != nil || host == gdsocket.Unknown || control == gdsocket.Unknown {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.HandleProbe(time.Now(), p.host, host == gdsocket.Responsive, control == gdsocket.Responsive)
}

func (e *EntryHost) reach(ctx context.Context, host gdflow.Address) gdsocket.Reachability {
	return gdsocket.Reach(ctx, host.WithPort(e.HopAddress.Port()).AddrPort())
}

// onUnreachable logs that an agent's host can't be reached. It is called with mu locked.
func (e *EntryHost) onUnreachable(host gdflow.Address) {
	e.metrics.event(time.Now(), e.Log, gdlog.HostUnreachable, "host", host, "revision", e.state.Revision())
}
