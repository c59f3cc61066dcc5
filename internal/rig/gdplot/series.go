package gdplot

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

// binWidth is the width of a bin of samples.
const binWidth = 500 * time.Millisecond

// latencyQuantile is the quantile of the latency that is drawn.
const latencyQuantile = 0.99

// bins maps the number of a bin to its samples.
type bins map[int][]gdload.Sample

// group divides the samples into named series, and each series into bins.
func group(samples []gdload.Sample, start time.Time, series func(gdload.Sample) string) map[string]bins {
	all := make(map[string]bins)
	for _, s := range samples {
		name := series(s)
		if all[name] == nil {
			all[name] = make(bins)
		}
		n := int(s.At.Sub(start) / binWidth)
		all[name][n] = append(all[name][n], s)
	}
	return all
}

// line returns one point for each bin. Its x value is the start of the bin in
// seconds.
func (b bins) line(value func([]gdload.Sample) float64) plotter.XYs {
	var points plotter.XYs
	for n, samples := range b {
		points = append(points, plotter.XY{X: float64(n) * binWidth.Seconds(), Y: value(samples)})
	}
	slices.SortFunc(points, func(p, q plotter.XY) int { return cmp.Compare(p.X, q.X) })
	return points
}

// p99Latency returns the 99th percentile of the latency of answered requests in ms,
// or 0 if there are none.
func p99Latency(samples []gdload.Sample) float64 {
	var ms []float64
	for _, s := range samples {
		if s.Outcome == gdload.Answered {
			ms = append(ms, float64(s.Latency)/float64(time.Millisecond))
		}
	}
	if len(ms) == 0 {
		return 0
	}
	slices.Sort(ms)
	return ms[int(latencyQuantile*float64(len(ms)-1))]
}

// unanswered returns the percentage of requests without a correct answer.
func unanswered(samples []gdload.Sample) float64 {
	n := 0
	for _, s := range samples {
		if s.Outcome != gdload.Answered {
			n++
		}
	}
	return 100 * float64(n) / float64(len(samples))
}

// imbalance returns the ratio of the largest to the mean number of answers of the
// upstreams that answered in the bin, or 0 without answers.
func imbalance(samples []gdload.Sample) float64 {
	answers := make(map[string]int)
	sum, maxAnswers := 0, 0
	for _, s := range samples {
		if s.Upstream == "" {
			continue
		}
		answers[s.Upstream]++
		sum++
		maxAnswers = max(maxAnswers, answers[s.Upstream])
	}
	if sum == 0 {
		return 0
	}
	return float64(maxAnswers*len(answers)) / float64(sum)
}
