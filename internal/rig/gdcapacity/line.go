package gdcapacity

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// Size is the load, such as a number of flows.
	Size float64
	// Cost is what it took.
	Cost float64
}

// Series is a series of measurements with the line through them.
type Series struct {
	// Name says what was measured.
	Name string
	// Unit is the unit of a cost for one of the size, such as "bytes/flow".
	Unit string
	// Points are the measurements.
	Points []Point
}

// Fit returns the line's slope and its value at size 0, by least squares, and the
// share of the variance that the line explains.
func (l Series) Fit() (slope, base, r2 float64) {
	x := make([]float64, len(l.Points))
	y := make([]float64, len(l.Points))
	for i, p := range l.Points {
		x[i], y[i] = p.Size, p.Cost
	}
	base, slope = stat.LinearRegression(x, y, nil, false)
	return slope, base, stat.RSquared(x, y, nil, base, slope)
}

func (l Series) String() string {
	slope, base, r2 := l.Fit()
	points := make([]string, len(l.Points))
	for i, p := range l.Points {
		points[i] = fmt.Sprintf("%.5g:%.5g", p.Size, p.Cost)
	}
	return fmt.Sprintf("%-28s %12.5g %-22s base %10.4g  r2 %.4f  %s",
		l.Name, slope, l.Unit, base, r2, strings.Join(points, " "))
}
