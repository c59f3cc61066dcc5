package gdcapacity

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the size of the load, such as a number of flows.
	Size float64
	// Cost is the measured usage in the unit of the series, such as bytes.
	Cost float64
}

// Series is the measurements of one cost at several sizes of the load.
type Series struct {
	// Name describes the measured cost.
	Name string
	// Unit is the unit of the slope, such as "bytes/flow".
	Unit string
	// Points are the measurements in the order in which they were taken.
	Points []Point
}

// Fit fits a line by least squares. It returns the slope, the value at size 0 and the
// coefficient of determination.
func (s Series) Fit() (slope, base, r2 float64) {
	x := make([]float64, len(s.Points))
	y := make([]float64, len(s.Points))
	for i, p := range s.Points {
		x[i], y[i] = p.Size, p.Cost
	}
	base, slope = stat.LinearRegression(x, y, nil, false)
	return slope, base, stat.RSquared(x, y, nil, base, slope)
}

// String returns the series, its fit and its points as size:cost in one line.
func (s Series) String() string {
	slope, base, r2 := s.Fit()
	points := make([]string, len(s.Points))
	for i, p := range s.Points {
		points[i] = fmt.Sprintf("%.5g:%.5g", p.Size, p.Cost)
	}
	return fmt.Sprintf("%-28s %12.5g %-22s base %10.4g  r2 %.4f  %s",
		s.Name, slope, s.Unit, base, r2, strings.Join(points, " "))
}
