// Package gdplot draws what a load run saw over time: the latency of each class
// of work, what was not answered, and the imbalance of each service.
//
// # Usage
//
//	err := gdplot.Report{Title: "kiosks", Samples: demo.Samples(), Marks: marks}.Save("out.png")
package gdplot
