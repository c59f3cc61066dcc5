package gdserve

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
)

// metricsInterval is the interval at which the metrics are updated from the counters.
const metricsInterval = time.Second

// logConfiguration returns a function that logs changes of the configuration.
func logConfiguration(log gdlog.Logger) func(gdsync.Action) {
	return func(a gdsync.Action) {
		switch a := a.(type) {
		case gdsync.Activated:
			log.Event(gdlog.ConfigurationInForce, "version", a.State.Version().String())
		case gdsync.Rejected:
			log.Event(gdlog.ConfigurationInvalid, "revision", a.Revision, "reason", a.Err.Error())
		}
	}
}

// recordPacket returns a function that records decisions on packets.
func recordPacket(inj do.Injector) func(gdnode.Decision) {
	ring := do.MustInvoke[*gdoperator.Ring](inj)
	conf := do.MustInvoke[*gdconfsync.Syncer](inj)
	name := do.MustInvoke[gdsettings.Common](inj).Name
	return func(d gdnode.Decision) {
		ring.Add(gdoperator.Record{
			Time:     d.Time,
			Process:  name,
			Flow:     d.Caller.String(),
			Service:  serviceName(conf.View(), d.Service),
			Action:   d.Verdict.String(),
			Upstream: d.Upstream,
			Reason:   d.Reason.String(),
			Version:  conf.Version().String(),
		})
	}
}

func serviceName(v *gdconf.View, id gdconf.ServiceID) string {
	if v == nil {
		return ""
	}
	s, ok := v.Service(id)
	if !ok {
		return ""
	}
	return s.Name()
}

// recordRequest returns a function that records decisions on requests.
func recordRequest(inj do.Injector) func(gdrequest.Decision) {
	ring := do.MustInvoke[*gdoperator.Ring](inj)
	conf := do.MustInvoke[*gdconfsync.Syncer](inj)
	name := do.MustInvoke[gdsettings.Common](inj).Name
	return func(d gdrequest.Decision) {
		ring.Add(gdoperator.Record{
			Time:     time.Now(),
			Process:  name,
			Flow:     d.Flow,
			Request:  d.Request,
			Service:  d.Service,
			Action:   d.Action,
			Upstream: upstreamName(conf.View(), d.Peer),
			Reason:   d.Reason,
			Version:  conf.Version().String(),
		})
	}
}

func upstreamName(v *gdconf.View, id gdconf.UpstreamID) string {
	if v == nil {
		return ""
	}
	u, ok := v.Upstream(id)
	if !ok {
		return ""
	}
	return u.Name()
}

// exportCounters adds the growth of the counters to the metrics until the context
// ends.
func exportCounters(ctx context.Context, m *gdmetric.Metrics, c *gdnode.Counters) {
	last := make(map[string]uint64)
	t := time.NewTicker(metricsInterval)
	defer t.Stop()
	for {
		for _, n := range c.Snapshot() {
			m.Scope().Counter("packets-" + n.Name).Inc(int64(n.Value - last[n.Name]))
			last[n.Name] = n.Value
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
