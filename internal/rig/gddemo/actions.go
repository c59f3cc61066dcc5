package gddemo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
)

const (
	// fabricNotices is the time that the fabric goes on spraying to a dead
	// balancer.
	fabricNotices = time.Second
	// forgetEvery is the share of callers that the fabric forgets, as one in so
	// many.
	forgetEvery = 4
)

// action is what a step does.
type action func(context.Context) error

// faultable is what a platform's faults need.
type faultable interface {
	SetDown(on bool)
	SetStale(on bool)
	SetGarbage(on bool)
}

func (d *Demo) platform(change func(faultable)) action {
	return func(context.Context) error {
		change(d.Rig.Platform)
		return nil
	}
}

func (d *Demo) harm(drop, duplicate, reorder float64) action {
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
	sleep(ctx, fabricNotices)
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

func (d *Demo) cutBalancer(context.Context) error {
	d.Rig.Fabric.Disconnect(d.Rig.Balancers()[0].Host)
	return nil
}

func (d *Demo) mendBalancer(context.Context) error {
	d.Rig.Fabric.Reconnect(d.Rig.Balancers()[0].Host)
	return nil
}

func (d *Demo) leave(context.Context) error {
	return d.Rig.SetUpstreamState(d.drained.upstream, config.StateLeaving)
}

func (d *Demo) drain(ctx context.Context) error {
	if err := d.leave(ctx); err != nil {
		return err
	}
	d.watchLate(ctx, "leaving", []string{d.drained.upstream})
	return nil
}

func (d *Demo) domainOut(ctx context.Context) error {
	if err := d.domainOutQuietly(ctx); err != nil {
		return err
	}
	return d.watchDomain(ctx)
}

func (d *Demo) domainOutQuietly(context.Context) error {
	return d.Rig.SetDomainState(d.drained.domain, config.StateOut)
}

func (d *Demo) watchDomain(ctx context.Context) error {
	d.watchLate(ctx, "out", d.drained.members)
	return nil
}

func (d *Demo) domainIn(context.Context) error {
	return d.Rig.SetDomainState(d.drained.domain, config.StateIn)
}

func (d *Demo) turnCold(context.Context) error {
	for _, name := range d.drained.members {
		d.Rig.Upstream(name).TurnCold()
	}
	return nil
}

// newKey is the token key that the key rotation brings in.
var newKey = config.TokenKey{Phase: 1, Name: "2027-01"}

func (d *Demo) addKey(context.Context) error {
	return d.Rig.SetTokenKeys(func(old []config.TokenKey) []config.TokenKey {
		return []config.TokenKey{old[0], newKey}
	})
}

func (d *Demo) swapKeys(context.Context) error {
	return d.Rig.SetTokenKeys(func(old []config.TokenKey) []config.TokenKey {
		return []config.TokenKey{newKey, old[0]}
	})
}

func (d *Demo) dropKey(context.Context) error {
	return d.Rig.SetTokenKeys(func([]config.TokenKey) []config.TokenKey {
		return []config.TokenKey{newKey}
	})
}

func (d *Demo) agent() string { return d.drained.upstream }

func (d *Demo) pauseAgent(context.Context) error { return d.Rig.Pause(d.agent()) }

func (d *Demo) resumeAgent(context.Context) error { return d.Rig.Resume(d.agent()) }

// member is an upstream of the failure domain that goes out.
func (d *Demo) member() string { return d.drained.members[0] }

func (d *Demo) pauseMember(context.Context) error { return d.Rig.Pause(d.member()) }

func (d *Demo) resumeMember(context.Context) error { return d.Rig.Resume(d.member()) }

func (d *Demo) stopAgent(context.Context) error {
	p := d.Rig.Process(d.agent())
	if p == nil {
		return errors.Errorf("no process %s", d.agent())
	}
	p.Terminate()
	return nil
}

func (d *Demo) killAgent(context.Context) error {
	p := d.Rig.Process(d.agent())
	if p == nil {
		return errors.Errorf("no process %s", d.agent())
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

func (d *Demo) forgetCallers(context.Context) error {
	for _, s := range d.Rig.Services() {
		for i, caller := range d.Rig.Fabric.Callers(s.Name) {
			if i%forgetEvery == 0 {
				d.Rig.Fabric.BlackholeCaller(caller)
			}
		}
	}
	return nil
}

func (d *Demo) forgetAtBalancer(context.Context) error {
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
