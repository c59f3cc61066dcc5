package gdbench

import (
	"context"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// requestInterval is the mean interval between two requests of a flow.
const requestInterval = 10 * time.Millisecond

// Bench is one benchmark run. Set its exported fields before Run.
type Bench struct {
	// Rig is a started rig.
	Rig *gdrigup.Rig
	// Service is the name of the service to call.
	Service string
	// Flows is the number of flows on each of the two paths.
	Flows int
	// Duration is the length of the run.
	Duration time.Duration
	// Seed is the seed of the random load.
	Seed uint64
}

// Result is the result of a run. Path is the path through fabric and balancers, Direct
// the one directly to the agents, and Overhead the difference of their latencies.
// Latencies are in milliseconds.
type Result struct {
	PathP50        float64 `json:"path-p50-ms"`
	PathP99        float64 `json:"path-p99-ms"`
	DirectP50      float64 `json:"straight-p50-ms"`
	DirectP99      float64 `json:"straight-p99-ms"`
	OverheadP50    float64 `json:"overhead-p50-ms"`
	OverheadP99    float64 `json:"overhead-p99-ms"`
	PathAnswered   int     `json:"path-answered"`
	DirectAnswered int     `json:"straight-answered"`
}

// WithoutDelays returns the settings without any delay, service time or warm-up, so that
// only the path itself is measured.
func WithoutDelays(s gdrigup.Settings) gdrigup.Settings {
	s.CallerDelayMS = 0
	s.DomainDelayMS = 0
	s.ServiceTimeMS = 0
	s.WarmUpSeconds = 0
	return s
}

// Run runs the load on both paths at the same time.
func (b *Bench) Run(ctx context.Context) (Result, error) {
	path, err := b.newLoad(b.Seed, nil)
	if err != nil {
		return Result{}, err
	}
	dial, err := b.directDialer()
	if err != nil {
		return Result{}, err
	}
	direct, err := b.newLoad(b.Seed+1, dial)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range []*gdload.Load{path, direct} {
		wg.Go(func() { _ = l.Run(ctx) }) // always returns nil
	}
	wg.Wait()
	return compare(path.Result(), direct.Result())
}

// newLoad returns a load for the service. Its flows use connections from listen, or
// ordinary sockets if listen is nil.
func (b *Bench) newLoad(seed uint64, listen func() (net.PacketConn, error)) (*gdload.Load, error) {
	roots, err := gdload.LoadRoots(b.Rig.CAFile())
	if err != nil {
		return nil, err
	}
	s, ok := lo.Find(b.Rig.Services(), func(s gdrigup.ServiceAddr) bool { return s.Name == b.Service })
	if !ok {
		return nil, errors.Errorf("service %q: not in the deployment", b.Service)
	}
	target := gdload.Target{Service: s.Name, Addr: s.Addr, EchoFlows: b.Flows, ListenPacket: listen}
	return &gdload.Load{Targets: []gdload.Target{target}, Roots: roots, Interval: requestInterval, Seed: seed}, nil
}

// directDialer returns a function that opens packet connections to the service's agents
// in turn.
func (b *Bench) directDialer() (func() (net.PacketConn, error), error) {
	text, err := os.ReadFile(b.Rig.FleetKeyFile())
	if err != nil {
		return nil, errors.Wrap(err, "read fleet key")
	}
	fleet, err := gdkey.Parse(string(text))
	if err != nil {
		return nil, err
	}
	view, err := gdconf.New(b.Rig.Deployment())
	if err != nil {
		return nil, err
	}
	addr, _ := lo.Find(b.Rig.Services(), func(s gdrigup.ServiceAddr) bool { return s.Name == b.Service })
	s, ok := view.ServiceByAddress(addr.Addr)
	if !ok {
		return nil, errors.Errorf("address %s: no service in the deployment has it", addr.Addr)
	}
	var n atomic.Uint32
	return func() (net.PacketConn, error) {
		all := s.Upstreams()
		u := all[int(n.Add(1))%len(all)]
		return newDirectConn(fleet, view.Version(), s, u)
	}, nil
}

// compare returns the latencies of both paths and their differences.
func compare(path, direct gdload.Result) (Result, error) {
	if path.Answered == 0 || direct.Answered == 0 {
		return Result{}, errors.Errorf("compare latencies: %d answers through balancers (errors %v), %d directly (errors %v); both paths need answers",
			path.Answered, path.Errors, direct.Answered, direct.Errors)
	}
	return Result{
		PathP50: path.P50, PathP99: path.P99,
		DirectP50: direct.P50, DirectP99: direct.P99,
		OverheadP50:  difference(path.P50, direct.P50),
		OverheadP99:  difference(path.P99, direct.P99),
		PathAnswered: path.Answered, DirectAnswered: direct.Answered,
	}, nil
}

// difference returns a-b in milliseconds, rounded to microseconds.
func difference(a, b float64) float64 { return math.Round((a-b)*1000) / 1000 }
