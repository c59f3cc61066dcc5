package gdload

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Summary summarizes the requests that flows of one kind sent to one service.
type Summary struct {
	Service  string
	Kind     string
	Answered int
	Sent     int
	P50, P99 time.Duration
}

func (s Summary) String() string {
	return fmt.Sprintf("%s %s: answered %d of %d, p50 %.1f ms, p99 %.1f ms",
		s.Service, s.Kind, s.Answered, s.Sent, milliseconds(s.P50.Microseconds()), milliseconds(s.P99.Microseconds()))
}

// Summarize summarizes samples by service and kind of flow, sorted by these names.
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
		latencies := answered[k]
		slices.Sort(latencies)
		all = append(all, Summary{
			Service: k.service, Kind: k.kind, Answered: len(latencies), Sent: n,
			P50: quantile(latencies, 0.5), P99: quantile(latencies, 0.99),
		})
	}
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// quantile returns the q-quantile of the sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
