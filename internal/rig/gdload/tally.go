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
	// maxLatencyMicros is the largest latency that the histogram can record. Larger
	// latencies are recorded as this value.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 3
)

// Result holds the counts of a load run.
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

	// FailedConnects is the number of connection attempts that failed.
	FailedConnects int `json:"-"`
	// Connects is the number of established connections.
	Connects int `json:"-"`
	// FeedLines is the number of correct lines that all feeds received.
	FeedLines int `json:"-"`
	// Reasons counts the requests without an answer by reason.
	Reasons map[string]int `json:"-"`
	// Errors are messages about the first errors.
	Errors []string `json:"-"`
}

// Failed reports whether the run broke a promise.
func (r Result) Failed() bool {
	return r.Wrong+r.Misrouted+r.DuplicateRuns+r.BrokenFlows > 0
}

// Notes returns the details that the JSON form of the result omits, as text: the
// connects, the reasons for requests without an answer, and the first errors.
func (r Result) Notes() []string {
	notes := []string{fmt.Sprintf("connects %d, failed connects %d, feed lines %d", r.Connects, r.FailedConnects, r.FeedLines)}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		notes = append(notes, fmt.Sprintf("not answered: %d %s", r.Reasons[reason], reason))
	}
	for _, msg := range r.Errors {
		notes = append(notes, "error: "+msg)
	}
	return notes
}

// maxErrors is the maximum number of messages in a Result.
const maxErrors = 20

// tally counts outcomes. Its zero value is ready for use.
type tally struct {
	mu      sync.Mutex
	counts  Result
	latency *hdrhistogram.Histogram
	answers map[string]map[string]int // by service and upstream
	samples []Sample
	notRun  []string // IDs of the requests refused with the outcome not-run
}

// Sample is one finished request, for plots.
type Sample struct {
	At      time.Time
	Service string
	Kind    string
	Latency time.Duration
	Outcome Outcome
	// Upstream is the name of the upstream that answered; empty without an answer.
	Upstream string
}

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of a request.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
	Wrong    Outcome = "wrong"
)

func (t *tally) update(count func(r *Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count(&t.counts)
}

// recordError calls count, and records the message of one of the first errors.
func (t *tally) recordError(msg string, count func(r *Result)) {
	t.update(func(r *Result) {
		count(r)
		r.addError(msg)
	})
}

// addError adds the message of one of the first errors.
func (r *Result) addError(msg string) {
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, msg)
	}
}

func (t *tally) countAnswered(service, upstream string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latency == nil {
		t.latency = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
		t.answers = make(map[string]map[string]int)
	}
	if t.answers[service] == nil {
		t.answers[service] = make(map[string]int)
	}
	t.counts.Answered++
	t.answers[service][upstream]++
	_ = t.latency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

// countNotRun counts a request that was refused with the outcome not-run.
func (t *tally) countNotRun(id, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.RefusedNotRun++
	t.notRun = append(t.notRun, id)
	t.countReason(reason)
}

// countUnknown counts a request whose outcome is unknown.
func (t *tally) countUnknown(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Unknown++
	t.countReason(reason)
}

// countReason counts the reason for a missing answer. t.mu must be held.
func (t *tally) countReason(reason string) {
	if t.counts.Reasons == nil {
		t.counts.Reasons = make(map[string]int)
	}
	t.counts.Reasons[reason]++
}

func (t *tally) addSample(s Sample, end time.Time) {
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
	r := t.counts
	r.Reasons = maps.Clone(t.counts.Reasons)
	r.Errors = slices.Clone(t.counts.Errors)
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
	for _, id := range t.notRun {
		if rec.StartsOfRequest(id) > 0 {
			r.Wrong++
			r.addError("request " + id + ": refused with the outcome not-run, but it ran")
		}
	}
	return r
}

// imbalance returns the ratio of the largest to the mean number of answers of the
// target's upstreams, or 0 without answers.
func (t *tally) imbalance(target Target) float64 {
	answers := t.answers[target.Service]
	names := target.Upstreams
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(answers))
	}
	sum, maxAnswers := 0, 0
	for _, name := range names {
		sum += answers[name]
		maxAnswers = max(maxAnswers, answers[name])
	}
	if sum == 0 {
		return 0
	}
	ratio := float64(maxAnswers) * float64(len(names)) / float64(sum)
	return math.Round(ratio*1000) / 1000
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
