package gdcapacity

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/quic-go/quic-go"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

const (
	maxLatency      = 10 * time.Second
	latencyDigits   = 3
	overheadRounds  = 5
	overheadWarmUps = 50
)

// Latency is the latency of small requests over one way.
type Latency struct {
	// Name says which way.
	Name string
	// P50 and P99 are percentiles.
	P50, P99 time.Duration
	// Requests is their number.
	Requests int
}

func (l Latency) String() string {
	return fmt.Sprintf("%-28s p50 %8s  p99 %8s  of %d requests", l.Name, l.P50, l.P99, l.Requests)
}

// Overhead sends requests one after the other, in turns through the whole path
// and straight to the agent, and returns both latencies.
func (m *Meter) Overhead(ctx context.Context, requests int) ([]Latency, error) {
	b, err := m.start(ctx, 0)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	socket, err := b.callers.addSocket()
	if err != nil {
		return nil, err
	}
	path, err := b.callers.open(ctx, socket, false)
	if err != nil {
		return nil, err
	}
	direct, err := b.direct(ctx)
	if err != nil {
		return nil, err
	}
	ways := []*way{newWay("through the path", path), newWay("straight to the agent", direct)}
	for range overheadRounds {
		for _, w := range ways {
			if err := w.send(ctx, requests/overheadRounds); err != nil {
				return nil, err
			}
		}
	}
	return []Latency{ways[0].latency(), ways[1].latency()}, nil
}

// direct opens a flow that reaches the agent without a balancer.
func (b *bench) direct(ctx context.Context) (*flow, error) {
	v, err := gdconf.New(b.rig.Deployment())
	if err != nil {
		return nil, err
	}
	conn, err := newDirectConn(v, b.rig.FleetKeyFile())
	if err != nil {
		return nil, err
	}
	t := &quic.Transport{Conn: conn}
	b.callers.sockets = append(b.callers.sockets, t)
	return b.callers.open(ctx, t, false)
}

// way is one way to the agent.
type way struct {
	name string
	flow *flow
	hist *hdrhistogram.Histogram
}

func newWay(name string, f *flow) *way {
	hist := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	return &way{name: name, flow: f, hist: hist}
}

func (w *way) send(ctx context.Context, n int) error {
	for i := range n + overheadWarmUps {
		began := time.Now()
		if err := w.flow.post(ctx); err != nil {
			return err
		}
		if i >= overheadWarmUps {
			_ = w.hist.RecordValue(time.Since(began).Microseconds()) // beyond the range only
		}
	}
	return nil
}

func (w *way) latency() Latency {
	at := func(p float64) time.Duration {
		return time.Duration(w.hist.ValueAtPercentile(p)) * time.Microsecond
	}
	return Latency{Name: w.name, P50: at(50), P99: at(99), Requests: int(w.hist.TotalCount())}
}
