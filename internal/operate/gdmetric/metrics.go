package gdmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// ReportInterval is the time after which a change is in the output at the
// latest.
const ReportInterval = time.Second

const (
	// shortestBucket is the bound of the first latency bucket: about a round trip
	// between two hosts.
	shortestBucket = 500 * time.Microsecond
	// latencyBuckets is the number of buckets, each twice as wide as the one before:
	// the last bound is 4 s, longer than any deadline.
	latencyBuckets = 14
)

// LatencyBuckets returns the bounds of a histogram of times within a deployment.
func LatencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(shortestBucket, 2, latencyBuckets)
}

// Metrics joins a tally scope with the reporter to which it reports.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *Reporter
}

// New returns metrics whose names start with the prefix and whose series all
// have the tags. Close must be called to end tally's reporting.
func New(prefix string, tags map[string]string) *Metrics {
	r := NewReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   tags,
		Reporter:               r,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: r}
}

// Scope returns the scope in which counters, gauges and histograms are made.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// ServeHTTP answers with all series in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.reporter.ServeHTTP(w, r) }

// Close reports what has changed since the last interval and ends reporting.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "close metrics") }
