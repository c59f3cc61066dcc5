package gdentry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/core/gddispatch"
	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/core/gdpacer"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdloglimit"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
)

// counters has the metrics of an entry host and the rate limit of its log.
type counters struct {
	malformed, accepted       tally.Counter
	queries, statuses, probes tally.Counter
	farOffers                 tally.Counter
	bulkQueued, bulkDropped   tally.Counter
	failedReads, failedWrites tally.Counter
	unreadable, verifications tally.Counter
	forwards, resets, drops   []tally.Counter
	returns, spills           []tally.Counter
	lookupTime                tally.Histogram
	era, revision, version    tally.Gauge
	upstreams                 tally.Gauge
	logLimit                  gdloglimit.Limiter
}

func (c *counters) init(scope tally.Scope) {
	c.malformed = scope.Counter("malformed_datagrams")
	c.queries, c.statuses = scope.Counter("questions_asked"), scope.Counter("standings_told")
	c.probes = scope.Counter("hosts_probed")
	c.farOffers = scope.Counter("far_offers")
	c.bulkQueued, c.bulkDropped = scope.Counter("bulk_packets_queued"), scope.Counter("bulk_packets_dropped")
	c.accepted = scope.Counter("flows_accepted")
	c.failedReads, c.failedWrites = scope.Counter("failed_reads"), scope.Counter("failed_writes")
	c.unreadable, c.verifications = scope.Counter("unreadable_answers"), scope.Counter("views_verified")
	c.era, c.revision, c.version = scope.Gauge("era"), scope.Gauge("revision"), scope.Gauge("version")
	c.upstreams = scope.Gauge("upstreams")
	c.lookupTime = scope.Histogram("settle_seconds", gdmetric.LatencyBuckets())
	for r := range gddispatch.NumReasons() {
		tagged := scope.Tagged(map[string]string{"reason": gddispatch.Reason(r).String()})
		c.forwards = append(c.forwards, tagged.Counter("packets_forwarded"))
		c.resets = append(c.resets, tagged.Counter("flows_reset"))
		c.drops = append(c.drops, tagged.Counter("packets_dropped"))
	}
	for cause := range gddispatch.NumSpillCauses() {
		tagged := scope.Tagged(map[string]string{"reason": gddispatch.SpillCause(cause).String()})
		c.spills = append(c.spills, tagged.Counter("flows_spilled"))
	}
	for r := range gdguard.NumReasons() {
		tagged := scope.Tagged(map[string]string{"reason": gdguard.Reason(r).String()})
		c.returns = append(c.returns, tagged.Counter("packets_returned"))
	}
}

func (c *counters) countAction(a *gddispatch.Action) {
	if a.Far {
		c.farOffers.Inc(1)
	}
	if a.Reason == gddispatch.Spilled {
		c.spills[a.Spill.Cause].Inc(1)
	}
	r := a.Reason
	switch a.Verb {
	case gddispatch.Forward:
		c.forwards[r].Inc(1)
	case gddispatch.Reset:
		c.resets[r].Inc(1)
	case gddispatch.Query:
		c.queries.Inc(1)
	case gddispatch.SendStatus:
		c.statuses.Inc(1)
	case gddispatch.Probe:
		c.probes.Inc(1)
	case gddispatch.Verify:
	default:
		c.drops[r].Inc(1)
	}
}

func (c *counters) countPaced(d gdpacer.Decision) {
	switch d {
	case gdpacer.Queued:
		c.bulkQueued.Inc(1)
	case gdpacer.Dropped:
		c.bulkDropped.Inc(1)
	}
}

func (c *counters) countReturn(r gdguard.Reason) { c.returns[r].Inc(1) }

func (c *counters) recordView(v *gddiscovery.View) {
	c.revision.Update(float64(v.Revision().Number()))
	c.era.Update(float64(v.Revision().Era()))
	c.version.Update(float64(v.Version()))
	c.upstreams.Update(float64(len(v.Upstreams())))
}

// event logs an event, unless the rate limit of the log is exceeded.
func (c *counters) event(now time.Time, log gdlog.Logger, ev gdlog.Event, keysAndValues ...any) {
	c.logLimit.Event(now, log, ev, keysAndValues...)
}
