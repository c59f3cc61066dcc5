package gdcapacity

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

const (
	serviceName  = "booking"
	upstreamName = "booking-1"
	feedRoute    = "/feed"
	slots        = 64
	// settleTime is the delay after a change of the load before the usage is read.
	settleTime = 3 * time.Second
	// concurrentRequests is the number of requests in progress while their cost is measured.
	concurrentRequests = 8
)

// Meter measures the costs of a deployment's processes. Set its exported fields before
// Measure.
type Meter struct {
	// Binary is the path of the godwitdrift program.
	Binary string
	// Flows are the numbers of open flows to measure at, in ascending order.
	Flows []int
	// Feeds are the numbers of open feeds to measure at, in ascending order.
	Feeds []int
	// Agents are the numbers of agents of one service to measure at.
	Agents []int
	// Requests are the numbers of requests to measure.
	Requests []int
	// Progress, if set, is called with a message for each step.
	Progress func(string)
}

// Measure returns the series of all costs, or after an error those measured so far.
func (m *Meter) Measure(ctx context.Context) ([]Series, error) {
	var out []Series
	for _, part := range []func(context.Context) ([]Series, error){m.controlTraffic, m.flows, m.feeds, m.requests} {
		series, err := part(ctx)
		if err != nil {
			return out, err
		}
		out = append(out, series...)
	}
	return out, nil
}

// spec returns a deployment of one service with one upstream behind one balancer.
func spec(maxFlows int) gdrigup.Spec {
	return gdrigup.Spec{
		Deployment: config.Deployment{
			Name: "capacity", Revision: 1,
			TokenKeys: []config.TokenKey{{Phase: 0, Name: "first"}},
			Domains:   []config.Domain{{Name: "north"}},
			Services:  []config.Service{service(serviceName, 0, 1)},
		},
		Settings: gdrigup.Settings{Balancers: 1, MaxFlows: maxFlows, Seed: 1},
	}
}

// service returns the configuration of the service with number i, counted from 0, with
// the given number of upstreams.
func service(name string, i, upstreams int) config.Service {
	s := config.Service{
		Name: name, ID: uint16(i + 1), Priority: 1, DrainSeconds: 1,
		Address: fmt.Sprintf("192.0.%d.%d:443", 2+i/200, 1+i%200),
		Routes:  []config.Route{{PathPrefix: feedRoute, Priority: 1, Stream: true}},
	}
	for j := range upstreams {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprintf("%s-%d", name, j+1), ID: uint32(100*(i+1) + j + 1), Domain: "north",
			Agent: fmt.Sprintf("198.51.%d.%d:7000", i, j+1), Slots: slots,
		})
	}
	return s
}

// deployment is a running deployment and its callers.
type deployment struct {
	rig      *gdrigup.Rig
	callers  *callers
	agent    *gdrigup.Process
	balancer *gdrigup.Process
}

func (m *Meter) startDeployment(ctx context.Context, maxFlows int) (*deployment, error) {
	rig := &gdrigup.Rig{Spec: spec(maxFlows), Binary: m.Binary, Progress: m.Progress}
	if err := rig.Start(ctx); err != nil {
		return nil, err
	}
	c, err := newCallers(serviceName, rig.Services()[0].Addr, rig.CAFile())
	if err != nil {
		rig.Stop()
		return nil, err
	}
	return &deployment{rig: rig, callers: c, agent: rig.Process(upstreamName), balancer: rig.Process("balancer-1")}, nil
}

func (d *deployment) stop() {
	d.callers.close()
	d.rig.Stop()
}

// flows measures the memory of idle flows and the processor time of opening them, for the
// agent and the balancer, and the agent's heap, stacks and goroutines.
func (m *Meter) flows(ctx context.Context) ([]Series, error) {
	d, err := m.startDeployment(ctx, 2*m.Flows[len(m.Flows)-1])
	if err != nil {
		return nil, err
	}
	defer d.stop()
	mem := Series{Name: "agent memory, idle flow", Unit: "bytes/flow"}
	heap := Series{Name: "agent heap, idle flow", Unit: "bytes/flow"}
	stack := Series{Name: "agent stacks, idle flow", Unit: "bytes/flow"}
	goroutines := Series{Name: "agent goroutines, idle flow", Unit: "goroutines/flow"}
	opening := Series{Name: "agent cpu, opened flow", Unit: "seconds/flow"}
	balancer := Series{Name: "balancer memory, idle flow", Unit: "bytes/flow"}
	balancerCPU := Series{Name: "balancer cpu, opened flow", Unit: "seconds/flow"}
	for _, n := range m.Flows {
		if err := d.callers.openFlows(ctx, n, false); err != nil {
			return nil, errors.Wrapf(err, "at %d flows", n)
		}
		time.Sleep(settleTime)
		a, err := readUsage(ctx, d.agent)
		if err != nil {
			return nil, err
		}
		b, err := readUsage(ctx, d.balancer)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		mem.Points = append(mem.Points, Point{size, a.ResidentBytes})
		heap.Points = append(heap.Points, Point{size, a.HeapBytes})
		stack.Points = append(stack.Points, Point{size, a.StackBytes})
		goroutines.Points = append(goroutines.Points, Point{size, a.Goroutines})
		opening.Points = append(opening.Points, Point{size, a.CPUSeconds})
		balancer.Points = append(balancer.Points, Point{size, b.ResidentBytes})
		balancerCPU.Points = append(balancerCPU.Points, Point{size, b.CPUSeconds})
	}
	return []Series{mem, heap, stack, goroutines, opening, balancer, balancerCPU}, nil
}

// feeds measures the agent's memory and goroutines for open feeds.
func (m *Meter) feeds(ctx context.Context) ([]Series, error) {
	d, err := m.startDeployment(ctx, 2*m.Feeds[len(m.Feeds)-1])
	if err != nil {
		return nil, err
	}
	defer d.stop()
	mem := Series{Name: "agent memory, open feed", Unit: "bytes/feed"}
	goroutines := Series{Name: "agent goroutines, open feed", Unit: "goroutines/feed"}
	for _, n := range m.Feeds {
		if err := d.callers.openFlows(ctx, n, true); err != nil {
			return nil, errors.Wrapf(err, "at %d feeds", n)
		}
		time.Sleep(settleTime)
		a, err := readUsage(ctx, d.agent)
		if err != nil {
			return nil, err
		}
		mem.Points = append(mem.Points, Point{float64(n), a.ResidentBytes})
		goroutines.Points = append(goroutines.Points, Point{float64(n), a.Goroutines})
	}
	return []Series{mem, goroutines}, nil
}

// requests measures the processor time of small requests on open flows.
func (m *Meter) requests(ctx context.Context) ([]Series, error) {
	d, err := m.startDeployment(ctx, 0)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	if err := d.callers.openFlows(ctx, concurrentRequests, false); err != nil {
		return nil, err
	}
	agent := Series{Name: "agent cpu, small request", Unit: "seconds/request"}
	balancer := Series{Name: "balancer cpu, small request", Unit: "seconds/request"}
	for _, n := range m.Requests {
		before, err := d.readBoth(ctx)
		if err != nil {
			return nil, err
		}
		if err := d.callers.sendRequests(ctx, n, concurrentRequests); err != nil {
			return nil, errors.Wrapf(err, "at %d requests", n)
		}
		after, err := d.readBoth(ctx)
		if err != nil {
			return nil, err
		}
		agent.Points = append(agent.Points, Point{float64(n), after.agent.CPUSeconds - before.agent.CPUSeconds})
		balancer.Points = append(balancer.Points, Point{float64(n), after.balancer.CPUSeconds - before.balancer.CPUSeconds})
	}
	return []Series{agent, balancer}, nil
}

// usagePair is the usage of the agent and of the balancer, read one after the other.
type usagePair struct{ agent, balancer Usage }

func (d *deployment) readBoth(ctx context.Context) (usagePair, error) {
	a, err := readUsage(ctx, d.agent)
	if err != nil {
		return usagePair{}, err
	}
	b, err := readUsage(ctx, d.balancer)
	return usagePair{agent: a, balancer: b}, err
}
