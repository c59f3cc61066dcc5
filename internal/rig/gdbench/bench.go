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

// interval is the mean time between two requests of a flow.
const interval = 10 * time.Millisecond

// Bench is one run. Set its exported fields before Run.
type Bench struct {
	// Rig is a started rig.
	Rig *gdrigup.Rig
	// Service is the name of the service that is called.
	Service string
	// Flows is the number of flows on each of the two ways.
	Flows int
	// Duration is the length of the run.
	Duration time.Duration
	// Seed seeds the load.
	Seed uint64
}

// Result is what a run measured, in milliseconds.
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

// WithoutDelays takes all delays and the service time out of the settings, so that only
// the path itself is measured.
func WithoutDelays(s gdrigup.Settings) gdrigup.Settings {
	s.CallerDelayMS = 0
	s.DomainDelayMS = 0
	s.ServiceTimeMS = 0
	s.WarmUpSeconds = 0
	return s
}

// Run runs both ways at the same time.
func (b *Bench) Run(ctx context.Context) (Result, error) {
	path, err := b.load(b.Seed, nil)
	if err != nil {
		return Result{}, err
	}
	dial, err := b.straight()
	if err != nil {
		return Result{}, err
	}
	straight, err := b.load(b.Seed+1, dial)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, b.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range []*gdload.Load{path, straight} {
		wg.Go(func() { _ = l.Run(ctx) }) // Run has no error to give
	}
	wg.Wait()
	return compare(path.Result(), straight.Result())
}

func (b *Bench) load(seed uint64, open func() (net.PacketConn, error)) (*gdload.Load, error) {
	roots, err := gdload.LoadRoots(b.Rig.CAFile())
	if err != nil {
		return nil, err
	}
	s, ok := lo.Find(b.Rig.Services(), func(s gdrigup.ServiceAddr) bool { return s.Name == b.Service })
	if !ok {
		return nil, errors.Errorf("no service is named %q", b.Service)
	}
	target := gdload.Target{Service: s.Name, Addr: s.Addr, EchoFlows: b.Flows, ListenPacket: open}
	return &gdload.Load{Targets: []gdload.Target{target}, Roots: roots, Interval: interval, Seed: seed}, nil
}

// straight returns a function that opens connections to the service's agents in
// turn.
func (b *Bench) straight() (func() (net.PacketConn, error), error) {
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
		return nil, errors.Errorf("no service has the address %s", addr.Addr)
	}
	var n atomic.Uint32
	return func() (net.PacketConn, error) {
		all := s.Upstreams()
		u := all[int(n.Add(1))%len(all)]
		return newStraightConn(fleet, view.Version(), s, u)
	}, nil
}

func compare(path, straight gdload.Result) (Result, error) {
	if path.Answered == 0 || straight.Answered == 0 {
		return Result{}, errors.Errorf("no comparison: %d answers over the path (%v), %d straight (%v)",
			path.Answered, path.Errors, straight.Answered, straight.Errors)
	}
	return Result{
		PathP50: path.P50, PathP99: path.P99,
		DirectP50: straight.P50, DirectP99: straight.P99,
		OverheadP50:  difference(path.P50, straight.P50),
		OverheadP99:  difference(path.P99, straight.P99),
		PathAnswered: path.Answered, DirectAnswered: straight.Answered,
	}, nil
}

// difference is rounded to microseconds.
func difference(a, b float64) float64 { return math.Round((a-b)*1000) / 1000 }
