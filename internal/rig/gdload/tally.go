package gdload

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

const (
	// maxLatency is the largest latency that the histogram tells apart, in
	// microseconds.
	maxLatency = 60_000_000
	// latencyDigits is the number of significant digits of a latency.
	latencyDigits = 3
)

// Result is what a load run counted.
type Result struct {
	Answered      int     `json:"answered"`
	Wrong         int     `json:"wrong"`
	Misrouted     int     `json:"misrouted"`
	BrokenFlows   int     `json:"broken-flows"`
	AbortedFlows  int     `json:"given-up"`
	RefusedNotRun int     `json:"refused-not-run"`
	DuplicateRuns int     `json:"doubled"`
	Unknown       int     `json:"unknown"`
	P50           float64 `json:"p50-ms"`
	P99           float64 `json:"p99-ms"`
	Imbalance     float64 `json:"imbalance"`

	// FailedConnects is the number of connections that were never established.
	FailedConnects int `json:"-"`
	// Connects is the number of connections that were established.
	Connects int `json:"-"`
	// FeedLines is the number of lines that all feeds got.
	FeedLines int `json:"-"`
	// Reasons counts the requests without an answer by what was seen instead.
	Reasons map[string]int `json:"-"`
	// Errors are the first faults in words.
	Errors []string `json:"-"`
}

// Failed reports whether the run broke a promise.
func (r Result) Failed() bool {
	return r.Wrong+r.Misrouted+r.DuplicateRuns+r.BrokenFlows > 0
}

// Notes says in words what the numbers have no room for: why requests were not
// answered, and the first faults.
func (r Result) Notes() []string {
	notes := []string{fmt.Sprintf("connects %d, failed connects %d, feed lines %d", r.Connects, r.FailedConnects, r.FeedLines)}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		notes = append(notes, fmt.Sprintf("not answered: %d %s", r.Reasons[reason], reason))
	}
	for _, words := range r.Errors {
		notes = append(notes, "fault: "+words)
	}
	return notes
}

// maxFaults bounds the faults that are kept in words.
const maxFaults = 20

// tally counts outcomes. Its zero value is ready for use.
type tally struct {
	mu       sync.Mutex
	sum      Result
	latency  *hdrhistogram.Histogram
	upstream map[string]map[string]int // answers by service and upstream
	samples  []Sample
	refused  []string // request ids that were refused as not run
}

// Sample is one finished request, for plots.
type Sample struct {
	At      time.Time
	Service string
	Kind    string
	Latency time.Duration
	Outcome Outcome
	// Upstream is who answered; empty when nobody did.
	Upstream string
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
	Wrong    Outcome = "wrong"
)

func (t *tally) change(f func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.sum)
}

// fault counts by f and keeps the words.
func (t *tally) fault(words string, f func(r *Result)) {
	t.change(func(r *Result) {
		f(r)
		if len(r.Errors) < maxFaults {
			r.Errors = append(r.Errors, words)
		}
	})
}

func (t *tally) answered(service, upstream string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, maxLatency, latencyDigits)
		t.upstream = make(map[string]map[string]int)
	}
	if t.upstream[service] == nil {
		t.upstream[service] = make(map[string]int)
	}
	t.sum.Answered++
	t.upstream[service][upstream]++
	_ = t.latency.RecordValue(min(d.Microseconds(), maxLatency))
}

// notRun counts a request that was refused as not run.
func (t *tally) notRun(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.RefusedNotRun++
	t.refused = append(t.refused, id)
	t.because(reason)
}

// unknown counts a request of which nobody knows whether it ran.
func (t *tally) unknown(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Unknown++
	t.because(reason)
}

// because counts a reason. The caller holds the lock.
func (t *tally) because(reason string) {
	if t.sum.Reasons == nil {
		t.sum.Reasons = make(map[string]int)
	}
	t.sum.Reasons[reason]++
}

func (t *tally) sample(s Sample, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.At = end
	t.samples = append(t.samples, s)
}

func (t *tally) copySamples() []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Sample{}, t.samples...)
}

func (t *tally) result(targets []Target, rec *gdupstreamsim.Record) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sum
	r.Reasons = maps.Clone(t.sum.Reasons)
	r.Errors = slices.Clone(t.sum.Errors)
	if t.latency != nil {
		r.P50 = milliseconds(t.latency.ValueAtQuantile(50))
		r.P99 = milliseconds(t.latency.ValueAtQuantile(99))
	}
	for _, target := range targets {
		r.Imbalance = max(r.Imbalance, t.imbalance(target))
	}
	if rec == nil {
		return r
	}
	r.DuplicateRuns = rec.DuplicateKeys()
	for _, id := range t.refused {
		if rec.StartsOfRequest(id) > 0 {
			r.Wrong++
			r.Errors = append(r.Errors, "request "+id+" ran although it was refused as not run")
		}
	}
	return r
}

// imbalance is the largest share of the target's upstreams over the mean share.
func (t *tally) imbalance(target Target) float64 {
	answers := t.upstream[target.Service]
	names := target.Upstreams
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(answers))
	}
	sum, most := 0, 0
	for _, name := range names {
		sum += answers[name]
		most = max(most, answers[name])
	}
	if sum == 0 {
		return 0
	}
	ratio := float64(most) * float64(len(names)) / float64(sum)
	return math.Round(ratio*1000) / 1000
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
