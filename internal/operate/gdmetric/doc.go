// Package gdmetric counts what a process does, with tally, and shows the counts
// in the Prometheus text format.
//
// A [Reporter] is the adapter between the two: tally reports the changes of each
// interval to it, and it adds them up. It starts no server and no goroutine; it
// is an http.Handler for the operator port.
//
// # Usage
//
//	m := gdmetric.New("godwitdrift", map[string]string{"role": "balancer"})
//	defer m.Close()
//	forwarded := m.Scope().Counter("datagrams-forwarded")
//	forwarded.Inc(1)
//	mux.Handle("/metrics", m)
//
// Names and tags are kebab case in the code and become snake case in the output,
// as Prometheus demands.
//
// # Limits
//
// A Reporter keeps at most 4,096 series. Further ones are dropped and counted in
// godwitdrift_metric_series_dropped, so that tags never make a process grow
// without bound. Tally doesn't report the sum of a histogram's samples, so a
// histogram has buckets and a count only.
package gdmetric
