package gdplot

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/plot/plotter"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

// bin is the time over which samples are taken together.
const bin = 500 * time.Millisecond

// tail is the quantile of the latency that is drawn.
const tail = 0.99

// bins are samples by the number of their bin.
type bins map[int][]gdload.Sample

// group sorts the samples into classes, and each class into bins.
func group(samples []gdload.Sample, start time.Time, class func(gdload.Sample) string) map[string]bins {
	all := make(map[string]bins)
	for _, s := range samples {
		name := class(s)
		if all[name] == nil {
			all[name] = make(bins)
		}
		n := int(s.At.Sub(start) / bin)
		all[name][n] = append(all[name][n], s)
	}
	return all
}

// line returns one point for each bin, at its start in seconds.
func (b bins) line(value func([]gdload.Sample) float64) plotter.XYs {
	var points plotter.XYs
	for n, samples := range b {
		points = append(points, plotter.XY{X: float64(n) * bin.Seconds(), Y: value(samples)})
	}
	slices.SortFunc(points, func(p, q plotter.XY) int { return cmp.Compare(p.X, q.X) })
	return points
}

// slowest returns the 99th percentile of the answered requests, in ms.
func slowest(samples []gdload.Sample) float64 {
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
	return ms[int(tail*float64(len(ms)-1))]
}

// unanswered returns the percentage of requests that got no answer.
func unanswered(samples []gdload.Sample) float64 {
	n := 0
	for _, s := range samples {
		if s.Outcome != gdload.Answered {
			n++
		}
	}
	return 100 * float64(n) / float64(len(samples))
}

// imbalance returns the largest share over the mean share of the upstreams that
// answered in the bin.
func imbalance(samples []gdload.Sample) float64 {
	byName := make(map[string]int)
	sum, most := 0, 0
	for _, s := range samples {
		if s.Upstream == "" {
			continue
		}
		byName[s.Upstream]++
		sum++
		most = max(most, byName[s.Upstream])
	}
	if sum == 0 {
		return 0
	}
	return float64(most*len(byName)) / float64(sum)
}
