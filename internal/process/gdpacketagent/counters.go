package gdpacketagent

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdloglimit"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
)

// counters has the metrics of an agent and the rate limit of its log.
type counters struct {
	malformed                 tally.Counter
	failedReads, failedWrites tally.Counter
	delivered, answered       tally.Counter
	resets, opened            tally.Counter
	returns, holdings         []tally.Counter
	answerTime, expectedWait  tally.Histogram
	kept, earlyAnswers        tally.Counter
	released                  [][]tally.Counter // by priority and cause
	keptTime                  []tally.Histogram // by priority
	logLimit                  gdloglimit.Limiter
}

func (c *counters) init(scope tally.Scope) {
	c.malformed = scope.Counter("malformed_datagrams")
	c.failedReads, c.failedWrites = scope.Counter("failed_reads"), scope.Counter("failed_writes")
	c.delivered, c.answered = scope.Counter("packets_delivered"), scope.Counter("packets_answered")
	c.resets, c.opened = scope.Counter("flows_reset"), scope.Counter("flows_opened")
	c.answerTime = scope.Histogram("answer_seconds", gdmetric.LatencyBuckets())
	c.expectedWait = scope.Histogram("expected_wait_seconds", gdmetric.LatencyBuckets())
	for h := range gdguard.NumHoldings() {
		tagged := scope.Tagged(map[string]string{"holding": gdguard.Holding(h).String()})
		c.holdings = append(c.holdings, tagged.Counter("flows_asked"))
	}
	c.kept, c.earlyAnswers = scope.Counter("packets_kept"), scope.Counter("early_answer_suspicions")
	for l := range gdguard.NumPriorities() {
		tagged := scope.Tagged(map[string]string{"priority": strconv.Itoa(l)})
		c.keptTime = append(c.keptTime, tagged.Histogram("kept_seconds", gdmetric.LatencyBuckets()))
		byCause := make([]tally.Counter, gdguard.NumCauses())
		for i := range byCause {
			byCause[i] = tagged.Tagged(map[string]string{"reason": gdguard.Cause(i).String()}).Counter("requests_released")
		}
		c.released = append(c.released, byCause)
	}
	for r := range gdguard.NumReasons() {
		tagged := scope.Tagged(map[string]string{"reason": gdguard.Reason(r).String()})
		c.returns = append(c.returns, tagged.Counter("packets_returned"))
	}
}

func (c *counters) countAction(a *gdguard.Action) {
	switch a.Verb {
	case gdguard.Deliver:
		c.delivered.Inc(1)
	case gdguard.SendToCaller:
		c.answered.Inc(1)
	case gdguard.Return:
		c.returns[a.Reason].Inc(1)
		if a.Reason == gdguard.Busy {
			c.expectedWait.RecordDuration(a.Wait)
		}
	case gdguard.Reset:
		c.resets.Inc(1)
	case gdguard.ReportAccepted:
		c.opened.Inc(1)
	case gdguard.Keep:
		c.kept.Inc(1)
	}
}

func (c *counters) countRelease(r gdguard.Release) {
	l := min(int(r.Priority), len(c.released)-1)
	c.released[l][r.Cause].Inc(1)
	c.keptTime[l].RecordDuration(r.KeptFor)
}

// event logs an event, unless the rate limit of the log is exceeded.
func (c *counters) event(now time.Time, log gdlog.Logger, ev gdlog.Event, keysAndValues ...any) {
	c.logLimit.Event(now, log, ev, keysAndValues...)
}
