package gddemo

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// plan is a sequence of steps under load.
type plan struct {
	name  string
	about string
	steps func(*Demo) []step
	// breaks says that the plan itself ends flows, so that broken flows are no
	// failure.
	breaks bool
}

// PlanInfo names a plan for a person.
type PlanInfo struct {
	Name        string
	Description string
}

// defaultPlan is the plan of a Demo that names none.
const defaultPlan = "change"

// Plans lists the plans.
func Plans() []PlanInfo {
	return lo.Map(plans(), func(p plan, _ int) PlanInfo { return PlanInfo{Name: p.name, Description: p.about} })
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
	return plan{}, errors.Errorf("no plan is named %q", name)
}

func plans() []plan {
	return []plan{
		{name: defaultPlan, about: "a balancer dies and is replaced, an upstream drains, a failure domain leaves and returns", steps: (*Demo).change},
		{name: "steady", about: "nothing changes", steps: func(*Demo) []step { return nil }},
		{name: "rough", about: "the fabric drops, doubles and reorders packets", steps: (*Demo).rough},
		{name: "rough-domain", about: "a failure domain leaves and returns while packets are lost", steps: (*Demo).roughDomain},
		{name: "lost-close", about: "all packets are lost for the moment in which a failure domain leaves", steps: (*Demo).lostClose},
		{name: "balancer-pause", about: "a balancer sleeps through a failure domain's leaving and wakes", steps: (*Demo).balancerPause},
		{name: "balancer-cut", about: "a balancer is cut off from callers and comes back", steps: (*Demo).balancerCut},
		{name: "platform-down", about: "the platform is down while a balancer is replaced", steps: (*Demo).platformDown},
		{name: "platform-stale", about: "the platform serves older values after a failure domain left", steps: (*Demo).platformStale},
		{name: "platform-garbage", about: "the platform answers garbage while a balancer is replaced", steps: (*Demo).platformGarbage},
		{name: "cold", about: "warm upstreams turn cold while their health endpoints say warm", steps: (*Demo).cold},
		{name: "key-rotation", about: "a token key is added, becomes the first, and the old one goes", steps: (*Demo).keyRotation},
		{name: "agent-pause", about: "an agent sleeps for some seconds and wakes", steps: (*Demo).agentPause},
		{name: "agent-sleep", about: "an agent sleeps through the leaving of its own failure domain and wakes", steps: (*Demo).agentSleep, breaks: true},
		{name: "agent-stop", about: "an agent is stopped gracefully and started again", steps: (*Demo).agentStop, breaks: true},
		{name: "agent-kill", about: "an agent is killed and started again", steps: (*Demo).agentKill, breaks: true},
		{name: "silence", about: "the fabric loses track of callers", steps: (*Demo).silence, breaks: true},
		{name: "half-silence", about: "the fabric loses track of all callers at one balancer", steps: (*Demo).halfSilence},
		{name: "rebind", about: "callers' addresses change in mid-flow", steps: (*Demo).rebind},
	}
}

func (d *Demo) change() []step {
	return []step{
		{0.15, "kill a balancer", d.killBalancer},
		{0.25, "replace the balancer", d.replaceBalancer},
		{0.35, "drain upstream " + d.drained.upstream, d.drain},
		{0.55, "take failure domain " + d.drained.domain + " out", d.domainOut},
		{0.75, "bring failure domain " + d.drained.domain + " back", d.domainIn},
	}
}

func (d *Demo) rough() []step {
	return []step{
		{0.2, "drop 1 %, double 5 %, reorder 10 % of the packets", d.harm(0.01, 0.05, 0.1)},
		{0.6, "drop 5 % of the packets", d.harm(0.05, 0, 0)},
		{0.8, "harm no packet", d.harm(0, 0, 0)},
	}
}

func (d *Demo) roughDomain() []step {
	return []step{
		{0.2, "drop 10 % of the packets", d.harm(0.1, 0, 0)},
		{0.3, "take failure domain " + d.drained.domain + " out", d.domainOutQuietly},
		{0.5, "bring failure domain " + d.drained.domain + " back", d.domainIn},
		{0.7, "harm no packet", d.harm(0, 0, 0)},
	}
}

func (d *Demo) lostClose() []step {
	return []step{
		{0.1, "lose all packets", d.harm(1, 0, 0)},
		{0.1, "take failure domain " + d.drained.domain + " out", d.domainOutQuietly},
		{0.25, "lose no packet", d.harm(0, 0, 0)},
	}
}

func (d *Demo) balancerPause() []step {
	return []step{
		{0.2, "pause a balancer", d.pauseBalancer},
		{0.3, "take failure domain " + d.drained.domain + " out", d.domainOutQuietly},
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
		{0.3, "take failure domain " + d.drained.domain + " out", d.domainOutQuietly},
		{0.5, "resume the agent", d.resumeMember},
		{0.6, "watch failure domain " + d.drained.domain, d.watchDomain},
	}
}

func (d *Demo) balancerCut() []step {
	return []step{
		{0.3, "cut a balancer off", d.cutBalancer},
		{0.6, "mend the cut", d.mendBalancer},
	}
}

func (d *Demo) platformDown() []step {
	return []step{
		{0.2, "platform down", d.platform(func(f faultable) { f.SetDown(true) })},
		{0.3, "kill a balancer", d.killBalancer},
		{0.4, "replace the balancer", d.replaceBalancer},
		{0.8, "platform up", d.platform(func(f faultable) { f.SetDown(false) })},
	}
}

func (d *Demo) platformStale() []step {
	return []step{
		{0.2, "take failure domain " + d.drained.domain + " out", d.domainOutQuietly},
		{0.35, "platform serves older values", d.platform(func(f faultable) { f.SetStale(true) })},
		{0.4, "kill a balancer", d.killBalancer},
		{0.5, "replace the balancer", d.replaceBalancer},
		{0.6, "watch failure domain " + d.drained.domain, d.watchDomain},
		{0.9, "platform serves the newest values", d.platform(func(f faultable) { f.SetStale(false) })},
	}
}

func (d *Demo) platformGarbage() []step {
	return []step{
		{0.2, "platform answers garbage", d.platform(func(f faultable) { f.SetGarbage(true) })},
		{0.3, "kill a balancer", d.killBalancer},
		{0.4, "replace the balancer", d.replaceBalancer},
		{0.8, "platform answers rightly", d.platform(func(f faultable) { f.SetGarbage(false) })},
	}
}

func (d *Demo) cold() []step {
	return []step{
		{0.4, "upstreams of failure domain " + d.drained.domain + " turn cold", d.turnCold},
		{0.7, "they turn cold again", d.turnCold},
	}
}

func (d *Demo) keyRotation() []step {
	return []step{
		{0.2, "accept a new token key", d.addKey},
		{0.4, "issue under the new token key", d.swapKeys},
		{0.7, "drop the old token key", d.dropKey},
	}
}

func (d *Demo) agentStop() []step {
	return []step{
		{0.2, "publish upstream " + d.drained.upstream + " as leaving", d.leave},
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
	return []step{{0.4, "the fabric forgets every fourth caller", d.forgetCallers}}
}

func (d *Demo) halfSilence() []step {
	return []step{{0.3, "the fabric forgets all callers at one balancer", d.forgetAtBalancer}}
}

func (d *Demo) rebind() []step {
	return []step{
		{0.3, "all callers get new addresses", d.rebindCallers},
		{0.6, "all callers get new addresses again", d.rebindCallers},
	}
}

// nothing is the step that only marks the end.
func nothing(context.Context) error { return nil }
