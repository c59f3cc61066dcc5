// Package gdplot draws the results of a load run over time: the latency and the
// share of unanswered requests by service and kind of flow, and the imbalance of
// each service.
//
// # Usage
//
//	err := gdplot.Chart{Title: "kiosks", Samples: demo.Samples(), Marks: marks}.Save("out.png")
package gdplot
