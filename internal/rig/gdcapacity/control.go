package gdcapacity

import (
	"context"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

// controlWindow is the time over which the usage of an idle fleet is measured.
const controlWindow = 10 * time.Second

// controlTraffic measures the processor time and traffic of idle agents and of the
// balancer at several numbers of agents of one service.
func (m *Meter) controlTraffic(ctx context.Context) ([]Series, error) {
	cpu := Series{Name: "agent cpu, idle, by agents", Unit: "cores/agent"}
	bytes := Series{Name: "agent traffic, by agents", Unit: "bytes/s/agent"}
	balancer := Series{Name: "balancer cpu, idle, by agents", Unit: "cores/agent"}
	for _, n := range m.Agents {
		s := spec(0)
		s.Deployment.Services[0] = service(serviceName, 0, n)
		cost, err := m.measureIdle(ctx, s)
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), cost.agentCPU})
		bytes.Points = append(bytes.Points, Point{float64(n), cost.agentBytes})
		balancer.Points = append(balancer.Points, Point{float64(n), cost.balancerCPU})
	}
	return []Series{cpu, bytes, balancer}, nil
}

// idleCost is the usage of an idle fleet: processor time per second and bytes per second,
// as means over the agents, and the balancer's processor time per second.
type idleCost struct {
	agentCPU    float64
	agentBytes  float64
	balancerCPU float64
}

// measureIdle starts the deployment and measures its usage without load.
func (m *Meter) measureIdle(ctx context.Context, s gdrigup.Spec) (idleCost, error) {
	rig := &gdrigup.Rig{Spec: s, Binary: m.Binary, Progress: m.Progress}
	if err := rig.Start(ctx); err != nil {
		return idleCost{}, err
	}
	defer rig.Stop()
	time.Sleep(settleTime)
	before, err := readFleetUsage(ctx, rig)
	if err != nil {
		return idleCost{}, err
	}
	time.Sleep(controlWindow)
	after, err := readFleetUsage(ctx, rig)
	if err != nil {
		return idleCost{}, err
	}
	return before.costUntil(after, controlWindow.Seconds()), nil
}

// fleetUsage is the usage of a fleet, summed by role. Only the process that receives a
// peer's call counts its bytes, so the processes together handle twice as many.
type fleetUsage struct {
	agents    float64
	agentCPU  float64
	bytes     float64
	processes float64
	balancer  Usage
}

// readFleetUsage reads the usage of all processes of the rig.
func readFleetUsage(ctx context.Context, rig *gdrigup.Rig) (fleetUsage, error) {
	var f fleetUsage
	for _, p := range rig.Processes() {
		u, err := readUsage(ctx, p)
		if err != nil {
			return fleetUsage{}, err
		}
		f.processes++
		f.bytes += u.PeerBytes
		if p.Role() == "agent" {
			f.agents++
			f.agentCPU += u.CPUSeconds
			continue
		}
		f.balancer = u
	}
	return f, nil
}

// costUntil returns the usage between two readings, end being the later one.
func (f fleetUsage) costUntil(end fleetUsage, seconds float64) idleCost {
	const bothEnds = 2 // sender and receiver
	return idleCost{
		agentCPU:    (end.agentCPU - f.agentCPU) / end.agents / seconds,
		agentBytes:  bothEnds * (end.bytes - f.bytes) / end.processes / seconds,
		balancerCPU: (end.balancer.CPUSeconds - f.balancer.CPUSeconds) / seconds,
	}
}
