package gdload

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Summary sums up the requests of one kind to one service.
type Summary struct {
	Service  string
	Kind     string
	Answered int
	Sent     int
	P50, P99 time.Duration
}

func (c Summary) String() string {
	return fmt.Sprintf("%s %s: answered %d of %d, p50 %.1f ms, p99 %.1f ms",
		c.Service, c.Kind, c.Answered, c.Sent, milliseconds(c.P50.Microseconds()), milliseconds(c.P99.Microseconds()))
}

// Summarize sums up samples by service and kind, in the order of their names.
func Summarize(samples []Sample) []Summary {
	type key struct{ service, kind string }
	answered := make(map[key][]time.Duration)
	sent := make(map[key]int)
	for _, s := range samples {
		k := key{s.Service, s.Kind}
		sent[k]++
		if s.Outcome == Answered {
			answered[k] = append(answered[k], s.Latency)
		}
	}
	var all []Summary
	for k, n := range sent {
		times := answered[k]
		slices.Sort(times)
		all = append(all, Summary{
			Service: k.service, Kind: k.kind, Answered: len(times), Sent: n,
			P50: quantile(times, 0.5), P99: quantile(times, 0.99),
		})
	}
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// quantile returns the value at the share q of the sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
