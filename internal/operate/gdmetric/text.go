package gdmetric

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
)

// contentType is the content type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// ServeHTTP writes all series in the Prometheus text format.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var buf bytes.Buffer
	r.write(&buf)
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(buf.Bytes()) // an error means that the scraper has disconnected
}

// write writes the series sorted by name and labels.
func (r *Reporter) write(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*series, 0, len(r.series)+1)
	for _, s := range r.series {
		all = append(all, s)
	}
	all = append(all, &series{
		name:  "godwitdrift_metric_series_dropped",
		kind:  counter,
		value: float64(r.dropped),
	})
	slices.SortFunc(all, func(a, b *series) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.labels, b.labels))
	})
	last := ""
	for _, s := range all {
		if s.name != last {
			fmt.Fprintf(w, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		s.write(w)
	}
}

func (s *series) write(w io.Writer) {
	switch s.kind {
	case counter, gauge:
		s.line(w, "", "", s.value)
	case summary:
		s.line(w, "_sum", "", s.value)
		s.line(w, "_count", "", float64(s.count))
	case histogram:
		total := uint64(0)
		for i, bound := range s.bounds {
			total += s.counts[i]
			s.line(w, "_bucket", `le="`+formatValue(bound)+`"`, float64(total))
		}
		s.line(w, "_count", "", float64(s.count))
	}
}

// line writes one sample. If extra is not empty, it is an additional label.
func (s *series) line(w io.Writer, suffix, extra string, value float64) {
	labels := s.labels
	if labels != "" && extra != "" {
		labels += ","
	}
	labels += extra
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s%s %s\n", s.name, suffix, labels, formatValue(value))
}

func formatValue(f float64) string {
	if math.IsInf(f, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}
