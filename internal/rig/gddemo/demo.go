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

// Demo is one run of load under a plan. Set its exported fields before Run.
type Demo struct {
	// Rig is a started rig.
	Rig *gdrigup.Rig
	// Plan is the name of the plan; empty means "change". See [Plans].
	Plan string
	// Duration is the duration of the load and of the plan, after SettleTime.
	Duration time.Duration
	// LoadFactor multiplies the numbers of echo and once flows; 0 means 1.
	LoadFactor int
	// Seed seeds the load.
	Seed uint64
	// SettleTime is the time between the start of the deployment and the load. For
	// about 4.5 s after all agents of a service have started at once, none of them can
	// grant a key that a caller stamped, and the outcome of such a request is unknown.
	SettleTime time.Duration
	// Progress, if set, is called with a message for each step and with reports.
	Progress func(string)
	// Live, if set, is called every second with the counts so far.
	Live func(string)

	plan     plan
	load     *gdload.Load
	affected map[string]bool // names of the upstreams that a plan may take out of service
	marks    []Mark
	drained  drained
}

// Mark is a step of the run, for plots.
type Mark struct {
	At   time.Time
	Name string
}

// Marks returns the steps so far.
func (d *Demo) Marks() []Mark { return append([]Mark{}, d.marks...) }

// Samples returns the requests that finished so far.
func (d *Demo) Samples() []gdload.Sample { return d.load.Samples() }

// Run runs the load and the steps of the plan, and returns the counts.
func (d *Demo) Run(ctx context.Context) (gdload.Result, error) {
	var err error
	if d.plan, err = planNamed(d.Plan); err != nil {
		return gdload.Result{}, err
	}
	roots, err := gdload.LoadRoots(d.Rig.CAFile())
	if err != nil {
		return gdload.Result{}, err
	}
	d.selectDrained()
	if d.SettleTime > 0 {
		d.progress("waiting until the agents can grant stamped keys")
		select {
		case <-ctx.Done():
			return gdload.Result{}, ctx.Err()
		case <-time.After(d.SettleTime):
		}
	}
	d.load = &gdload.Load{Targets: d.targets(), Roots: roots, Record: d.Rig.Record, Seed: d.Seed}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.load.Run(ctx) }()
	go d.showCounts(ctx)
	err = d.runSteps(ctx)
	cancel()
	if e := <-done; err == nil {
		err = e
	}
	d.report()
	r := d.load.Result()
	if d.plan.breaksFlows {
		d.progress(fmt.Sprintf("broken flows, expected with this plan: %d", r.BrokenFlows))
	}
	return r, err
}

// Failed reports whether the result shows a broken promise. Broken flows do not
// count if the plan breaks flows itself.
func (d *Demo) Failed(r gdload.Result) bool {
	if d.plan.breaksFlows {
		r.BrokenFlows = 0
	}
	return r.Failed()
}

// targets returns the load rows of rig.toml as targets at the services' addresses.
func (d *Demo) targets() []gdload.Target {
	addrs := lo.KeyBy(d.Rig.Services(), func(s gdrigup.ServiceAddr) string { return s.Name })
	services := lo.KeyBy(d.Rig.Deployment().Services, func(s config.Service) string { return s.Name })
	factor := max(d.LoadFactor, 1)
	return lo.Map(d.Rig.Spec.Settings.Load, func(row gdrigup.LoadRow, _ int) gdload.Target {
		return gdload.Target{
			Service: row.Service, Addr: addrs[row.Service].Addr,
			Upstreams: d.unaffected(services[row.Service]),
			EchoFlows: row.EchoFlows * factor, FeedFlows: row.FeedFlows, OnceFlows: row.OnceFlows * factor, OncePath: row.OncePath,
			Interval: time.Duration(row.IntervalMS * float64(time.Millisecond)),
		}
	})
}

// unaffected returns the names of the upstreams that stay in service. The imbalance
// is computed over these.
func (d *Demo) unaffected(s config.Service) []string {
	return lo.FilterMap(s.Upstreams, func(u config.Upstream, _ int) (string, bool) {
		return u.Name, !d.affected[u.Name]
	})
}

func (d *Demo) progress(msg string) {
	if d.Progress != nil {
		d.Progress(msg)
	}
}

// showCounts passes the counts to Live every second until ctx ends.
func (d *Demo) showCounts(ctx context.Context) {
	for d.Live != nil && sleep(ctx, time.Second) {
		d.Live(d.summary())
	}
}

func (d *Demo) mark(name string) {
	d.marks = append(d.marks, Mark{At: time.Now(), Name: name})
	d.progress(name)
}
