// Package gdmetric collects the metrics of a process with tally and exposes them in
// the Prometheus text format.
//
// [Reporter] is the adapter between the two: tally reports the changes of each
// interval to it, and it accumulates them. It starts neither a server nor a goroutine;
// it is an http.Handler for the operator port.
//
// # Usage
//
//	m := gdmetric.New("godwitdrift", map[string]string{"role": "balancer"})
//	defer m.Close()
//	forwarded := m.Scope().Counter("datagrams-forwarded")
//	forwarded.Inc(1)
//	mux.Handle("/metrics", m)
//
// Names and tags are in kebab case in the code and in snake case in the output, as
// Prometheus requires.
//
// # Limits
//
// A Reporter holds at most 4,096 series. It drops further ones and counts the drops in
// godwitdrift_metric_series_dropped, which bounds the memory that tags can take. Tally
// doesn't report the sum of a histogram's samples, so a histogram has only buckets and
// a count.
package gdmetric
