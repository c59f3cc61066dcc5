package gddemo

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

// Demo is one run. Set its exported fields before Run.
type Demo struct {
	// Rig is a started rig.
	Rig *gdrigup.Rig
	// Plan is the name of the plan; empty means "change". See Plans.
	Plan string
	// Duration is the length of the whole run.
	Duration time.Duration
	// LoadFactor multiplies the flows that send requests; 0 means 1.
	LoadFactor int
	// Seed seeds the load.
	Seed uint64
	// SettleTime is the time between the start of the fleet and the load. For some 4.5 s
	// after all agents of a service have started at once, none of them can vouch
	// for a caller's own key, and its outcome is unknown.
	SettleTime time.Duration
	// Progress, when set, is called with each step in words.
	Progress func(string)
	// Live, when set, is called every second with the counts so far.
	Live func(string)

	plan    plan
	load    *gdload.Load
	upset   map[string]bool // upstreams that the run takes out of service
	marks   []Mark
	drained drained
}

// Mark is a step of the run, for plots.
type Mark struct {
	At   time.Time
	Name string
}

// Marks returns the steps taken so far.
func (d *Demo) Marks() []Mark { return append([]Mark{}, d.marks...) }

// Samples returns the requests that have finished so far.
func (d *Demo) Samples() []gdload.Sample { return d.load.Samples() }

// Run runs the load and the steps and returns what was counted.
func (d *Demo) Run(ctx context.Context) (gdload.Result, error) {
	var err error
	if d.plan, err = planNamed(d.Plan); err != nil {
		return gdload.Result{}, err
	}
	roots, err := gdload.LoadRoots(d.Rig.CAFile())
	if err != nil {
		return gdload.Result{}, err
	}
	d.choose()
	if d.SettleTime > 0 {
		d.say("waiting until the agents vouch for keys")
		time.Sleep(d.SettleTime)
	}
	d.load = &gdload.Load{Targets: d.targets(), Roots: roots, Record: d.Rig.Record, Seed: d.Seed}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.load.Run(ctx) }()
	go d.live(ctx)
	err = d.steps(ctx)
	cancel()
	if e := <-done; err == nil {
		err = e
	}
	d.report()
	r := d.load.Result()
	if d.plan.breaks {
		d.say(fmt.Sprintf("broken flows that the plan brings about: %d", r.BrokenFlows))
	}
	return r, err
}

// Failed reports whether the result breaks a promise under the plan.
func (d *Demo) Failed(r gdload.Result) bool {
	if d.plan.breaks {
		r.BrokenFlows = 0
	}
	return r.Failed()
}

// targets are the loads of rig.toml on the services' addresses.
func (d *Demo) targets() []gdload.Target {
	addrs := lo.KeyBy(d.Rig.Services(), func(s gdrigup.ServiceAddr) string { return s.Name })
	services := lo.KeyBy(d.Rig.Deployment().Services, func(s config.Service) string { return s.Name })
	factor := max(d.LoadFactor, 1)
	return lo.Map(d.Rig.Spec.Settings.Load, func(row gdrigup.LoadRow, _ int) gdload.Target {
		return gdload.Target{
			Service: row.Service, Addr: addrs[row.Service].Addr,
			Upstreams: d.steady(services[row.Service]),
			EchoFlows: row.EchoFlows * factor, FeedFlows: row.FeedFlows, OnceFlows: row.OnceFlows * factor, OncePath: row.OncePath,
			Interval: time.Duration(row.IntervalMS * float64(time.Millisecond)),
		}
	})
}

// steady returns the names of the upstreams that stay in service, over which
// the imbalance is taken.
func (d *Demo) steady(s config.Service) []string {
	return lo.FilterMap(s.Upstreams, func(u config.Upstream, _ int) (string, bool) {
		return u.Name, !d.upset[u.Name]
	})
}

func (d *Demo) say(words string) {
	if d.Progress != nil {
		d.Progress(words)
	}
}

// live shows the counts every second until ctx ends.
func (d *Demo) live(ctx context.Context) {
	for d.Live != nil && sleep(ctx, time.Second) {
		d.Live(d.summary())
	}
}

func (d *Demo) mark(name string) {
	d.marks = append(d.marks, Mark{At: time.Now(), Name: name})
	d.say(name)
}
