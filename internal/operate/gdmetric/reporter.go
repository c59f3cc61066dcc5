package gdmetric

import (
	"math"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries is the maximum number of series of a Reporter. It bounds its memory.
const maxSeries = 4096

// kind is the Prometheus type of a metric.
type kind string

const (
	counter   kind = "counter"
	gauge     kind = "gauge"
	summary   kind = "summary"
	histogram kind = "histogram"
)

// series is one metric with one set of labels.
type series struct {
	name   string
	labels string // sorted and escaped, without the braces
	kind   kind
	value  float64 // of a counter or gauge; for a summary, the sum in seconds
	count  uint64  // of a summary or histogram
	bounds []float64
	counts []uint64 // samples per bucket, not cumulative; as long as bounds
}

// Reporter accumulates tally's reports. It implements tally.StatsReporter and
// http.Handler and is safe for concurrent use.
type Reporter struct {
	mu      sync.Mutex
	series  map[string]*series
	dropped uint64
}

var _ tally.StatsReporter = (*Reporter)(nil)

// NewReporter returns a Reporter without series.
func NewReporter() *Reporter { return &Reporter{series: make(map[string]*series)} }

// Capabilities reports that the Reporter supports values and tags.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

type capabilities struct{}

// Reporting reports that values are supported.
func (capabilities) Reporting() bool { return true }

// Tagging reports that tags are supported.
func (capabilities) Tagging() bool { return true }

// Flush does nothing: each report takes effect immediately.
func (r *Reporter) Flush() {}

// ReportCounter adds value to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.update(name, tags, counter, func(s *series) { s.value += float64(value) })
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.update(name, tags, gauge, func(s *series) { s.value = value })
}

// ReportTimer adds one sample to a summary of seconds.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.update(name, tags, summary, func(s *series) {
		s.value += interval.Seconds()
		s.count++
	})
}

// ReportHistogramValueSamples adds samples to the bucket with the given upper bound.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string,
	buckets tally.Buckets, _, upper float64, samples int64,
) {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	r.addSamples(name, tags, buckets.AsValues(), upper, samples)
}

// ReportHistogramDurationSamples adds samples to the bucket with the given upper
// bound. Bounds are in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string,
	buckets tally.Buckets, _, upper time.Duration, samples int64,
) {
	bound := upper.Seconds()
	if upper == math.MaxInt64 {
		bound = math.Inf(1)
	}
	var bounds []float64
	for _, d := range buckets.AsDurations() {
		bounds = append(bounds, d.Seconds())
	}
	r.addSamples(name, tags, bounds, bound, samples)
}

func (r *Reporter) addSamples(name string, tags map[string]string, bounds []float64, upper float64, n int64) {
	r.update(name, tags, histogram, func(s *series) {
		if s.bounds == nil {
			s.bounds = append(append([]float64(nil), bounds...), math.Inf(1))
			sort.Float64s(s.bounds)
			s.counts = make([]uint64, len(s.bounds))
		}
		i := min(sort.SearchFloat64s(s.bounds, upper), len(s.bounds)-1)
		s.counts[i] += uint64(n)
		s.count += uint64(n)
	})
}

// update changes one series and creates it if necessary. A report whose kind differs
// from that of the series is dropped, as Prometheus allows only one type per name.
func (r *Reporter) update(name string, tags map[string]string, k kind, apply func(*series)) {
	name, labels := snake(name), formatLabels(tags)
	id := name + "{" + labels
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.series[id]
	if !ok && len(r.series) < maxSeries {
		s = &series{name: name, labels: labels, kind: k}
		r.series[id] = s
	}
	if s == nil || s.kind != k {
		r.dropped++
		return
	}
	apply(s)
}

// snake replaces each character that Prometheus doesn't allow in a name by an
// underscore.
func snake(name string) string {
	out := []byte(name)
	for i, c := range out {
		letter := c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (i == 0 || c < '0' || c > '9') {
			out[i] = '_'
		}
	}
	return string(out)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func formatLabels(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, snake(k)+`="`+labelEscaper.Replace(v)+`"`)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}
