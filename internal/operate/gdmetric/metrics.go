package gdmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// ReportInterval is the interval between tally's reports: the maximum delay until a
// change is in the output.
const ReportInterval = time.Second

const (
	// minLatencyBound is the bound of the first latency bucket: about one round trip
	// between two hosts.
	minLatencyBound = 500 * time.Microsecond
	// numLatencyBuckets is the number of buckets. Each bound is twice the previous one;
	// the last is 4 s, longer than any deadline.
	numLatencyBuckets = 14
)

// LatencyBuckets returns the bucket bounds for histograms of latencies within a
// deployment.
func LatencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(minLatencyBound, 2, numLatencyBuckets)
}

// Metrics combines a tally scope with the Reporter that receives its reports.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *Reporter
}

// New returns metrics whose names start with the prefix and whose series have the
// given tags. The caller must call Close to stop tally's reporting.
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

// Scope returns the scope in which to create counters, gauges and histograms.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// ServeHTTP writes all series in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.reporter.ServeHTTP(w, r) }

// Close reports the changes since the last interval and stops reporting.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "close metrics") }
