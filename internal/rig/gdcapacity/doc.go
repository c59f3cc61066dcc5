// Package gdcapacity measures how the cost of a process grows with its load.
//
// It starts a small deployment, brings about several sizes of one kind of load,
// reads what the process says of its own usage, and fits a line. The slopes are
// the ground of docs/CAPACITY.md.
//
// # Usage
//
//	m := &gdcapacity.Meter{Binary: "bin/godwitdrift", Flows: []int{500, 1000, 2000}}
//	lines, err := m.Measure(ctx)
//	for _, l := range lines {
//		fmt.Println(l)
//	}
package gdcapacity
