// Package gdcapacity measures how the resource usage of a process grows with its load.
//
// It starts a small deployment, generates one kind of load at several sizes, reads the
// usage that the process reports of itself, and fits a line. The figures of
// docs/CAPACITY.md are computed from the slopes.
//
// # Usage
//
//	m := &gdcapacity.Meter{Binary: "bin/godwitdrift", Flows: []int{500, 1000, 2000}}
//	all, err := m.Measure(ctx)
//	for _, s := range all {
//		fmt.Println(s)
//	}
package gdcapacity
