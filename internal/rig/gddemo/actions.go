package gddemo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

const (
	// fabricDetectionDelay is the time for which the fabric continues to spray
	// datagrams to a killed balancer.
	fabricDetectionDelay = time.Second
	// blackholeEvery selects the callers that the fabric blackholes: every fourth
	// caller of each service.
	blackholeEvery = 4
)

// action performs a step.
type action func(context.Context) error

// platformFaults switches the faults of the platform simulator on and off.
type platformFaults interface {
	SetDown(on bool)
	SetStale(on bool)
	SetGarbage(on bool)
}

func (d *Demo) platform(change func(platformFaults)) action {
	return func(context.Context) error {
		change(d.Rig.Platform)
		return nil
	}
}

// packetFaults sets the shares of packets that the fabric drops, duplicates and
// reorders.
func (d *Demo) packetFaults(drop, duplicate, reorder float64) action {
	return func(context.Context) error {
		d.Rig.Fabric.SetDropRate(drop)
		d.Rig.Fabric.SetDuplicateRate(duplicate)
		d.Rig.Fabric.SetReorderRate(reorder)
		return nil
	}
}

func (d *Demo) killBalancer(ctx context.Context) error {
	name := d.Rig.Balancers()[0].Name
	if err := d.Rig.KillBalancer(name); err != nil {
		return err
	}
	sleep(ctx, fabricDetectionDelay)
	d.Rig.RemoveBalancer(name)
	return nil
}

func (d *Demo) replaceBalancer(context.Context) error {
	_, err := d.Rig.AddBalancer()
	return err
}

func (d *Demo) pauseBalancer(context.Context) error {
	return d.Rig.Pause(d.Rig.Balancers()[0].Name)
}

func (d *Demo) resumeBalancer(context.Context) error {
	return d.Rig.Resume(d.Rig.Balancers()[0].Name)
}

func (d *Demo) disconnectBalancer(context.Context) error {
	d.Rig.Fabric.Disconnect(d.Rig.Balancers()[0].Host)
	return nil
}

func (d *Demo) reconnectBalancer(context.Context) error {
	d.Rig.Fabric.Reconnect(d.Rig.Balancers()[0].Host)
	return nil
}

func (d *Demo) publishLeaving(context.Context) error {
	return d.Rig.SetUpstreamState(d.drained.upstream, config.StateLeaving)
}

func (d *Demo) drain(ctx context.Context) error {
	if err := d.publishLeaving(ctx); err != nil {
		return err
	}
	d.watchLateStarts(ctx, "leaving", []string{d.drained.upstream})
	return nil
}

// domainOut takes the failure domain out of service, and watches for late starts.
func (d *Demo) domainOut(ctx context.Context) error {
	if err := d.publishDomainOut(ctx); err != nil {
		return err
	}
	return d.watchDomain(ctx)
}

func (d *Demo) publishDomainOut(context.Context) error {
	return d.Rig.SetDomainState(d.drained.domain, config.StateOut)
}

func (d *Demo) watchDomain(ctx context.Context) error {
	d.watchLateStarts(ctx, "out", d.drained.members)
	return nil
}

func (d *Demo) publishDomainIn(context.Context) error {
	return d.Rig.SetDomainState(d.drained.domain, config.StateIn)
}

func (d *Demo) turnCold(context.Context) error {
	for _, name := range d.drained.members {
		d.Rig.Upstream(name).TurnCold()
	}
	return nil
}

// newKey is the token key that the key rotation introduces.
var newKey = config.TokenKey{Phase: 1, Name: "2027-01"}

func (d *Demo) addKey(context.Context) error {
	return d.Rig.SetTokenKeys(func(old []config.TokenKey) []config.TokenKey {
		return []config.TokenKey{old[0], newKey}
	})
}

func (d *Demo) promoteKey(context.Context) error {
	return d.Rig.SetTokenKeys(func(old []config.TokenKey) []config.TokenKey {
		return []config.TokenKey{newKey, old[0]}
	})
}

func (d *Demo) removeOldKey(context.Context) error {
	return d.Rig.SetTokenKeys(func([]config.TokenKey) []config.TokenKey {
		return []config.TokenKey{newKey}
	})
}

// agent returns the name of the agent process of the upstream that drains, which is
// the upstream's own name.
func (d *Demo) agent() string { return d.drained.upstream }

func (d *Demo) pauseAgent(context.Context) error { return d.Rig.Pause(d.agent()) }

func (d *Demo) resumeAgent(context.Context) error { return d.Rig.Resume(d.agent()) }

// member returns the name of an upstream of the failure domain that goes out of
// service.
func (d *Demo) member() string { return d.drained.members[0] }

func (d *Demo) pauseMember(context.Context) error { return d.Rig.Pause(d.member()) }

func (d *Demo) resumeMember(context.Context) error { return d.Rig.Resume(d.member()) }

func (d *Demo) stopAgent(context.Context) error {
	p := d.Rig.Process(d.agent())
	if p == nil {
		return errors.Errorf("agent %s: no running process", d.agent())
	}
	p.Terminate()
	return nil
}

func (d *Demo) killAgent(context.Context) error {
	p := d.Rig.Process(d.agent())
	if p == nil {
		return errors.Errorf("agent %s: no running process", d.agent())
	}
	p.Kill()
	return nil
}

func (d *Demo) startAgent(ctx context.Context) error {
	if err := d.Rig.RestartAgent(d.drained.upstream); err != nil {
		return err
	}
	return d.Rig.SetUpstreamState(d.drained.upstream, config.StateIn)
}

func (d *Demo) blackholeCallers(context.Context) error {
	for _, s := range d.Rig.Services() {
		for i, caller := range d.Rig.Fabric.Callers(s.Name) {
			if i%blackholeEvery == 0 {
				d.Rig.Fabric.BlackholeCaller(caller)
			}
		}
	}
	return nil
}

func (d *Demo) blackholeAtBalancer(context.Context) error {
	host := d.Rig.Balancers()[0].Host
	for _, s := range d.Rig.Services() {
		for _, caller := range d.Rig.Fabric.Callers(s.Name) {
			d.Rig.Fabric.BlackholeCallerAt(caller, host)
		}
	}
	return nil
}

func (d *Demo) rebindCallers(context.Context) error {
	for _, s := range d.Rig.Services() {
		for _, caller := range d.Rig.Fabric.Callers(s.Name) {
			if err := d.Rig.Fabric.Rebind(caller); err != nil {
				return err
			}
		}
	}
	return nil
}
