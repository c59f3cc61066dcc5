package gdmetric_test

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
)

func body(m *gdmetric.Metrics) string {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestOutputIsPrometheusText(t *testing.T) {
	m := gdmetric.New("godwitdrift", map[string]string{"role": "agent"})
	s := m.Scope()
	s.Counter("flows-opened").Inc(2)
	s.Counter("flows-opened").Inc(3)
	s.Tagged(map[string]string{"reason": `bad "seal"`}).Counter("datagrams-dropped").Inc(1)
	s.Gauge("limit").Update(2.5)
	s.Timer("reload").Record(1500 * time.Millisecond)
	h := s.Histogram("latency", tally.DurationBuckets{time.Millisecond, 10 * time.Millisecond})
	h.RecordDuration(500 * time.Microsecond)
	h.RecordDuration(2 * time.Millisecond)
	h.RecordDuration(time.Second)
	require.NoError(t, m.Close()) // reports all changes
	require.Equal(t, `# TYPE godwitdrift_datagrams_dropped counter
godwitdrift_datagrams_dropped{reason="bad \"seal\"",role="agent"} 1
# TYPE godwitdrift_flows_opened counter
godwitdrift_flows_opened{role="agent"} 5
# TYPE godwitdrift_latency histogram
godwitdrift_latency_bucket{role="agent",le="0.001"} 1
godwitdrift_latency_bucket{role="agent",le="0.01"} 2
godwitdrift_latency_bucket{role="agent",le="+Inf"} 3
godwitdrift_latency_count{role="agent"} 3
# TYPE godwitdrift_limit gauge
godwitdrift_limit{role="agent"} 2.5
# TYPE godwitdrift_metric_series_dropped counter
godwitdrift_metric_series_dropped 0
# TYPE godwitdrift_reload summary
godwitdrift_reload_sum{role="agent"} 1.5
godwitdrift_reload_count{role="agent"} 1
`, body(m))
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	m := gdmetric.New("godwitdrift", nil)
	for i := range 5000 {
		m.Scope().Tagged(map[string]string{"caller": strconv.Itoa(i)}).Counter("requests").Inc(1)
	}
	require.NoError(t, m.Close())
	require.Equal(t, 4096, strings.Count(body(m), "godwitdrift_requests{"))
	require.Contains(t, body(m), "godwitdrift_metric_series_dropped 904\n")
}
