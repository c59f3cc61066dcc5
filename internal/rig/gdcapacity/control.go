package gdcapacity

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

// controlWindow is the time over which the control cost of an idle fleet is
// measured.
const controlWindow = 10 * time.Second

// control measures what an idle agent spends on its peers, at several numbers of
// agents of one service.
func (m *Meter) control(ctx context.Context) ([]Series, error) {
	cpu := Series{Name: "agent cpu, idle, by agents", Unit: "cores/agent"}
	bytes := Series{Name: "agent traffic, by agents", Unit: "bytes/s/agent"}
	balancer := Series{Name: "balancer cpu, idle, by agents", Unit: "cores/agent"}
	for _, n := range m.Agents {
		s := spec(0)
		s.Deployment.Services[0] = service(serviceName, 0, n)
		cost, err := m.idle(ctx, s)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), cost.agentCPU})
		bytes.Points = append(bytes.Points, Point{float64(n), cost.agentBytes})
		balancer.Points = append(balancer.Points, Point{float64(n), cost.balancerCPU})
	}
	return []Series{cpu, bytes, balancer}, nil
}

// idleCost is what the processes of an idle fleet cost, the mean over agents.
type idleCost struct {
	agentCPU    float64
	agentBytes  float64
	balancerCPU float64
}

// idle starts the deployment and measures it without load.
func (m *Meter) idle(ctx context.Context, s gdrigup.Spec) (idleCost, error) {
	rig := &gdrigup.Rig{Spec: s, Binary: m.Binary, Progress: m.Progress}
	if err := rig.Start(ctx); err != nil {
		return idleCost{}, err
	}
	defer rig.Stop()
	time.Sleep(settle)
	before, err := readAll(ctx, rig)
	if err != nil {
		return idleCost{}, err
	}
	time.Sleep(controlWindow)
	after, err := readAll(ctx, rig)
	if err != nil {
		return idleCost{}, err
	}
	return before.costUntil(after, controlWindow.Seconds()), nil
}

// totals are the usages of a fleet, summed by role. Bytes are counted where a
// call arrives, so the fleet's processes handle twice as many.
type totals struct {
	agents    float64
	agentCPU  float64
	bytes     float64
	processes float64
	balancer  Usage
}

func readAll(ctx context.Context, rig *gdrigup.Rig) (totals, error) {
	var t totals
	for _, p := range rig.Processes() {
		u, err := usageOf(ctx, p)
		if err != nil {
			return totals{}, err
		}
		t.processes++
		t.bytes += u.PeerBytes
		if p.Role() == "agent" {
			t.agents++
			t.agentCPU += u.CPUSeconds
			continue
		}
		t.balancer = u
	}
	return t, nil
}

func (t totals) costUntil(end totals, seconds float64) idleCost {
	const bothEnds = 2
	return idleCost{
		agentCPU:    (end.agentCPU - t.agentCPU) / end.agents / seconds,
		agentBytes:  bothEnds * (end.bytes - t.bytes) / end.processes / seconds,
		balancerCPU: (end.balancer.CPUSeconds - t.balancer.CPUSeconds) / seconds,
	}
}
