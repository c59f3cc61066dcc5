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
	// headroom lets the legend stand above the highest value.
	headroom = 1.25
)

// Mark is a step of the run, drawn as a vertical line.
type Mark struct {
	At   time.Time
	Name string
}

// Chart is what is drawn.
type Chart struct {
	Title   string
	Samples []gdload.Sample
	Marks   []Mark
}

// panel is one of the diagrams, from top to bottom.
type panel struct {
	title string
	label string
	class func(gdload.Sample) string
	value func([]gdload.Sample) float64
}

func byClass(s gdload.Sample) string { return s.Service + " " + s.Kind }

func byService(s gdload.Sample) string { return s.Service }

func panels() []panel {
	return []panel{
		{"latency, 99th percentile", "ms", byClass, slowest},
		{"refused or unknown", "% of requests", byClass, unanswered},
		{"imbalance", "largest share / mean share", byService, imbalance},
	}
}

// Save draws the report as a PNG file.
func (r Chart) Save(file string) error {
	if len(r.Samples) == 0 {
		return errors.New("draw the report: there are no samples")
	}
	all := panels()
	img := vgimg.New(width, panelHeight*vg.Length(len(all)))
	canvas := draw.New(img)
	tiles := draw.Tiles{Rows: len(all), Cols: 1}
	for i, p := range all {
		drawn, err := r.draw(p, i == 0)
		if err != nil {
			return errors.Wrap(err, "draw "+p.title)
		}
		drawn.Draw(tiles.At(canvas, 0, i))
	}
	return write(file, img)
}

func write(file string, img *vgimg.Canvas) error {
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write the report")
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(out); err != nil {
		_ = out.Close()
		return errors.Wrap(err, "write the report")
	}
	return errors.Wrap(out.Close(), "write the report")
}

// start is the time 0 of the drawing.
func (r Chart) start() time.Time {
	start := r.Samples[0].At
	for _, m := range r.Marks {
		if m.At.Before(start) {
			start = m.At
		}
	}
	return start
}

func (r Chart) draw(p panel, names bool) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text = p.title
	if names {
		pl.Title.Text = r.Title + ": " + p.title
	}
	pl.X.Label.Text = "s"
	pl.Y.Label.Text = p.label
	pl.Legend.Top = true
	pl.Legend.XOffs = -legendMargin
	classes := group(r.Samples, r.start(), p.class)
	for i, name := range slices.Sorted(maps.Keys(classes)) {
		l, err := plotter.NewLine(classes[name].line(p.value))
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		pl.Add(l)
		pl.Legend.Add(name, l)
	}
	pl.Y.Min = 0
	pl.Y.Max = max(pl.Y.Max, 1) * headroom
	return pl, r.marks(pl, names)
}

// marks draws the steps, with their names when asked for.
func (r Chart) marks(pl *plot.Plot, names bool) error {
	top := pl.Y.Max
	var labels plotter.XYLabels
	for _, m := range r.Marks {
		x := m.At.Sub(r.start()).Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		l.Color = color.Gray{Y: 0x99}
		pl.Add(l)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: top * (1 - 0.05*float64(len(labels.XYs)+1))})
		labels.Labels = append(labels.Labels, " "+m.Name)
	}
	if !names || len(labels.Labels) == 0 {
		return nil
	}
	words, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	pl.Add(words)
	return nil
}
