package gdplot_test

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdplot"
)

func TestSaveWritesPNG(t *testing.T) {
	start := time.Unix(1000, 0)
	var samples []gdload.Sample
	for i := range 40 {
		samples = append(samples, gdload.Sample{
			At: start.Add(time.Duration(i) * 100 * time.Millisecond), Service: "booking", Kind: "echo",
			Latency: time.Millisecond, Outcome: gdload.Answered, Upstream: "booking-1",
		})
	}
	file := filepath.Join(t.TempDir(), "out.png")
	chart := gdplot.Chart{Title: "test", Samples: samples, Marks: []gdplot.Mark{{At: start, Name: "begin"}}}
	require.NoError(t, chart.Save(file))
	in, err := os.Open(file)
	require.NoError(t, err)
	defer in.Close()
	img, err := png.Decode(in)
	require.NoError(t, err)
	require.False(t, img.Bounds().Empty())

	require.Error(t, gdplot.Chart{}.Save(file), "a chart without samples")
}
