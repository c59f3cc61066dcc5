package gddemo

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// plan is a named sequence of steps under load.
type plan struct {
	name        string
	description string
	steps       func(*Demo) []step
	// breaksFlows is set if the plan itself breaks flows. Broken flows are then no
	// failure.
	breaksFlows bool
}

// PlanInfo is the name and the description of a plan.
type PlanInfo struct {
	Name        string
	Description string
}

// defaultPlan is the plan of a Demo without a plan name.
const defaultPlan = "change"

// Plans returns the names and descriptions of all plans.
func Plans() []PlanInfo {
	return lo.Map(plans(), func(p plan, _ int) PlanInfo { return PlanInfo{Name: p.name, Description: p.description} })
}

func planNamed(name string) (plan, error) {
	if name == "" {
		name = defaultPlan
	}
	for _, p := range plans() {
		if p.name == name {
			return p, nil
		}
	}
	return plan{}, errors.Errorf("plan %q: no such plan", name)
}

func plans() []plan {
	return []plan{
		{name: defaultPlan, description: "a balancer is killed and replaced, an upstream drains, a failure domain goes out of service and back in", steps: (*Demo).change},
		{name: "steady", description: "nothing changes", steps: func(*Demo) []step { return nil }},
		{name: "rough", description: "the fabric drops, duplicates and reorders packets", steps: (*Demo).rough},
		{name: "rough-domain", description: "a failure domain goes out of service and back in under packet loss", steps: (*Demo).roughDomain},
		{name: "lost-close", description: "all packets are lost while a failure domain goes out of service", steps: (*Demo).lostClose},
		{name: "balancer-pause", description: "a balancer is paused while a failure domain goes out of service, and resumes", steps: (*Demo).balancerPause},
		{name: "balancer-cut", description: "a balancer is disconnected from callers, and reconnects", steps: (*Demo).balancerCut},
		{name: "platform-down", description: "the platform is down while a balancer is replaced", steps: (*Demo).platformDown},
		{name: "platform-stale", description: "the platform serves older values after a failure domain went out of service", steps: (*Demo).platformStale},
		{name: "platform-garbage", description: "the platform returns malformed values while a balancer is replaced", steps: (*Demo).platformGarbage},
		{name: "cold", description: "warm upstreams turn cold while their health endpoints report warm", steps: (*Demo).cold},
		{name: "key-rotation", description: "a token key is added, becomes the first, and the old key is removed", steps: (*Demo).keyRotation},
		{name: "agent-pause", description: "an agent is paused for some seconds and resumes", steps: (*Demo).agentPause},
		{name: "agent-sleep", description: "an agent is paused while its own failure domain goes out of service, and resumes", steps: (*Demo).agentSleep, breaksFlows: true},
		{name: "agent-stop", description: "an agent is stopped gracefully and started again", steps: (*Demo).agentStop, breaksFlows: true},
		{name: "agent-kill", description: "an agent is killed and started again", steps: (*Demo).agentKill, breaksFlows: true},
		{name: "silence", description: "the fabric blackholes every fourth caller", steps: (*Demo).silence, breaksFlows: true},
		{name: "half-silence", description: "the fabric blackholes all callers at one balancer", steps: (*Demo).halfSilence},
		{name: "rebind", description: "the addresses of callers change within a flow", steps: (*Demo).rebind},
	}
}

func (d *Demo) change() []step {
	return []step{
		{0.15, "kill a balancer", d.killBalancer},
		{0.25, "replace the balancer", d.replaceBalancer},
		{0.35, "drain upstream " + d.drained.upstream, d.drain},
		{0.55, "take failure domain " + d.drained.domain + " out of service", d.domainOut},
		{0.75, "put failure domain " + d.drained.domain + " back in service", d.publishDomainIn},
	}
}

func (d *Demo) rough() []step {
	return []step{
		{0.2, "drop 1 %, duplicate 5 %, reorder 10 % of the packets", d.packetFaults(0.01, 0.05, 0.1)},
		{0.6, "drop 5 % of the packets", d.packetFaults(0.05, 0, 0)},
		{0.8, "stop packet faults", d.packetFaults(0, 0, 0)},
	}
}

func (d *Demo) roughDomain() []step {
	return []step{
		{0.2, "drop 10 % of the packets", d.packetFaults(0.1, 0, 0)},
		{0.3, "take failure domain " + d.drained.domain + " out of service", d.publishDomainOut},
		{0.5, "put failure domain " + d.drained.domain + " back in service", d.publishDomainIn},
		{0.7, "stop packet faults", d.packetFaults(0, 0, 0)},
	}
}

func (d *Demo) lostClose() []step {
	return []step{
		{0.1, "drop all packets", d.packetFaults(1, 0, 0)},
		{0.1, "take failure domain " + d.drained.domain + " out of service", d.publishDomainOut},
		{0.25, "drop no packet", d.packetFaults(0, 0, 0)},
	}
}

func (d *Demo) balancerPause() []step {
	return []step{
		{0.2, "pause a balancer", d.pauseBalancer},
		{0.3, "take failure domain " + d.drained.domain + " out of service", d.publishDomainOut},
		{0.5, "resume the balancer", d.resumeBalancer},
		{0.6, "watch failure domain " + d.drained.domain, d.watchDomain},
	}
}

func (d *Demo) agentPause() []step {
	return []step{
		{0.3, "pause agent " + d.agent(), d.pauseAgent},
		{0.4, "resume the agent", d.resumeAgent},
	}
}

func (d *Demo) agentSleep() []step {
	return []step{
		{0.2, "pause agent " + d.member(), d.pauseMember},
		{0.3, "take failure domain " + d.drained.domain + " out of service", d.publishDomainOut},
		{0.5, "resume the agent", d.resumeMember},
		{0.6, "watch failure domain " + d.drained.domain, d.watchDomain},
	}
}

func (d *Demo) balancerCut() []step {
	return []step{
		{0.3, "disconnect a balancer", d.disconnectBalancer},
		{0.6, "reconnect the balancer", d.reconnectBalancer},
	}
}

func (d *Demo) platformDown() []step {
	return []step{
		{0.2, "platform down", d.platform(func(f platformFaults) { f.SetDown(true) })},
		{0.3, "kill a balancer", d.killBalancer},
		{0.4, "replace the balancer", d.replaceBalancer},
		{0.8, "platform up", d.platform(func(f platformFaults) { f.SetDown(false) })},
	}
}

func (d *Demo) platformStale() []step {
	return []step{
		{0.2, "take failure domain " + d.drained.domain + " out of service", d.publishDomainOut},
		{0.35, "platform serves older values", d.platform(func(f platformFaults) { f.SetStale(true) })},
		{0.4, "kill a balancer", d.killBalancer},
		{0.5, "replace the balancer", d.replaceBalancer},
		{0.6, "watch failure domain " + d.drained.domain, d.watchDomain},
		{0.9, "platform serves the newest values", d.platform(func(f platformFaults) { f.SetStale(false) })},
	}
}

func (d *Demo) platformGarbage() []step {
	return []step{
		{0.2, "platform returns malformed values", d.platform(func(f platformFaults) { f.SetGarbage(true) })},
		{0.3, "kill a balancer", d.killBalancer},
		{0.4, "replace the balancer", d.replaceBalancer},
		{0.8, "platform returns correct values", d.platform(func(f platformFaults) { f.SetGarbage(false) })},
	}
}

func (d *Demo) cold() []step {
	return []step{
		{0.4, "upstreams of failure domain " + d.drained.domain + " turn cold", d.turnCold},
		{0.7, "the same upstreams turn cold again", d.turnCold},
	}
}

func (d *Demo) keyRotation() []step {
	return []step{
		{0.2, "accept a new token key", d.addKey},
		{0.4, "issue tokens with the new token key", d.promoteKey},
		{0.7, "remove the old token key", d.removeOldKey},
	}
}

func (d *Demo) agentStop() []step {
	return []step{
		{0.2, "publish upstream " + d.drained.upstream + " as leaving", d.publishLeaving},
		{0.3, "stop the agent of " + d.drained.upstream, d.stopAgent},
		{0.7, "start the agent again", d.startAgent},
	}
}

func (d *Demo) agentKill() []step {
	return []step{
		{0.3, "kill the agent of " + d.drained.upstream, d.killAgent},
		{0.6, "start the agent again", d.startAgent},
	}
}

func (d *Demo) silence() []step {
	return []step{{0.4, "blackhole every fourth caller", d.blackholeCallers}}
}

func (d *Demo) halfSilence() []step {
	return []step{{0.3, "blackhole all callers at one balancer", d.blackholeAtBalancer}}
}

func (d *Demo) rebind() []step {
	return []step{
		{0.3, "give all callers new addresses", d.rebindCallers},
		{0.6, "give all callers new addresses again", d.rebindCallers},
	}
}

// noAction is the action of a step that only adds a mark.
func noAction(context.Context) error { return nil }
