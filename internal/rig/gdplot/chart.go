package gdplot

import (
	"image/color"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
)

const (
	width        = 28 * vg.Centimeter
	panelHeight  = 9 * vg.Centimeter
	legendMargin = vg.Centimeter
	// headroom is the ratio of the top of the y axis to the highest value. It leaves
	// space for the legend.
	headroom = 1.25
)

// Mark is a step of the run, drawn as a vertical line.
type Mark struct {
	At   time.Time
	Name string
}

// Chart is the content of a drawing with one panel per quantity.
type Chart struct {
	Title   string
	Samples []gdload.Sample
	Marks   []Mark
}

// panel is one of the diagrams of a chart, with one line per series.
type panel struct {
	title  string
	label  string                        // of the y axis
	series func(gdload.Sample) string    // name of the series of a sample
	value  func([]gdload.Sample) float64 // value of the samples of one bin
}

func byKind(s gdload.Sample) string { return s.Service + " " + s.Kind }

func byService(s gdload.Sample) string { return s.Service }

// panels returns the panels from top to bottom.
func panels() []panel {
	return []panel{
		{"latency, 99th percentile", "ms", byKind, p99Latency},
		{"refused or unknown", "% of requests", byKind, unanswered},
		{"imbalance", "largest share / mean share", byService, imbalance},
	}
}

// Save draws the chart and writes it to a PNG file.
func (c Chart) Save(file string) error {
	if len(c.Samples) == 0 {
		return errors.New("draw chart: no samples")
	}
	all := panels()
	img := vgimg.New(width, panelHeight*vg.Length(len(all)))
	canvas := draw.New(img)
	tiles := draw.Tiles{Rows: len(all), Cols: 1}
	for i, p := range all {
		drawn, err := c.draw(p, i == 0)
		if err != nil {
			return errors.Wrap(err, "draw panel "+p.title)
		}
		drawn.Draw(tiles.At(canvas, 0, i))
	}
	return write(file, img)
}

func write(file string, img *vgimg.Canvas) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write chart")
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "write chart")
	}
	return errors.Wrap(out.Close(), "write chart")
}

// start returns the time of x = 0: that of the first sample, or of an earlier mark.
func (c Chart) start() time.Time {
	start := c.Samples[0].At
	for _, m := range c.Marks {
		if m.At.Before(start) {
			start = m.At
		}
	}
	return start
}

// draw draws one panel. Only the top panel has the title of the chart and the names
// of the marks.
func (c Chart) draw(p panel, top bool) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text = p.title
	if top {
		pl.Title.Text = c.Title + ": " + p.title
	}
	pl.X.Label.Text = "s"
	pl.Y.Label.Text = p.label
	pl.Legend.Top = true
	pl.Legend.XOffs = -legendMargin
	series := group(c.Samples, c.start(), p.series)
	for i, name := range slices.Sorted(maps.Keys(series)) {
		l, err := plotter.NewLine(series[name].line(p.value))
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		pl.Add(l)
		pl.Legend.Add(name, l)
	}
	pl.Y.Min = 0
	pl.Y.Max = max(pl.Y.Max, 1) * headroom
	return pl, c.drawMarks(pl, top)
}

// drawMarks draws the marks, with their names if withNames is set.
func (c Chart) drawMarks(pl *plot.Plot, withNames bool) error {
	top := pl.Y.Max
	var labels plotter.XYLabels
	for _, m := range c.Marks {
		x := m.At.Sub(c.start()).Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		l.Color = color.Gray{Y: 0x99}
		pl.Add(l)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: top * (1 - 0.05*float64(len(labels.XYs)+1))})
		labels.Labels = append(labels.Labels, " "+m.Name)
	}
	if !withNames || len(labels.Labels) == 0 {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	pl.Add(names)
	return nil
}
