package gdload

import (
	"context"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdupstreamsim"
)

// CodeDomainOut is the QUIC application error code with which an agent closes
// the flows of a failure domain that is taken out.
const CodeDomainOut = 0x6764

// The agent's headers on a refused request: its outcome, why, and a key to come
// back with.
const (
	HeaderOutcome  = "Godwitdrift-Outcome"
	HeaderReason   = "Godwitdrift-Reason"
	HeaderKey      = "Godwitdrift-Key"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

const (
	defaultInterval = 50 * time.Millisecond
	defaultTimeout  = 5 * time.Second
	defaultBody     = 600 // bytes
	defaultOnce     = "/unlock"

	defaultFeedInterval = 100 * time.Millisecond
	defaultFeedSilence  = 5 * time.Second
)

// Target is one service with the flows that go to it.
type Target struct {
	// Service is the name that each answer must carry.
	Service string
	// Addr is the service address.
	Addr netip.AddrPort
	// Upstreams are the names over which the imbalance is taken. Empty means
	// those that answered.
	Upstreams []string
	// EchoFlows, FeedFlows and OnceFlows are the numbers of flows of each kind.
	EchoFlows, FeedFlows, OnceFlows int
	// Interval takes the place of the load's own interval unless it is 0.
	Interval time.Duration
	// ListenPacket opens a flow's packet connection; nil means a UDP socket of its own.
	ListenPacket func() (net.PacketConn, error)
	// OncePath is the path of at-most-once requests; empty means "/unlock".
	OncePath string
}

// Load is the load tool. Set its exported fields before Run.
type Load struct {
	// Targets are the services under load.
	Targets []Target
	// Roots are the certificate authorities that callers trust.
	Roots *x509.CertPool
	// Record is the upstream stand-ins' record, or nil when it is out of reach.
	Record *gdupstreamsim.Record
	// Interval is the mean time between two requests of a flow; 0 means 50 ms.
	Interval time.Duration
	// Timeout bounds one request; 0 means 5 s.
	Timeout time.Duration
	// FeedInterval is the time between two lines of a feed; 0 means 100 ms.
	FeedInterval time.Duration
	// FeedStallTimeout is the time in which a feed must get a quarter of its lines, or
	// else it is broken; 0 means 5 s.
	FeedStallTimeout time.Duration
	// BodySize is the size of a request's body; 0 means 600 bytes.
	BodySize int
	// Seed seeds the bodies and the intervals.
	Seed uint64

	tally tally
}

// LoadRoots reads the certificate authorities from a PEM file.
func LoadRoots(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate", file)
	}
	return pool, nil
}

// Run keeps all flows going until ctx ends, then closes them.
func (l *Load) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	var n uint64
	for _, t := range l.Targets {
		for _, k := range t.kinds() {
			n++
			f := newFlow(l, t, k, n)
			wg.Go(func() { f.run(ctx) })
		}
	}
	wg.Wait()
	return nil
}

// Result returns what was counted so far.
func (l *Load) Result() Result {
	return l.tally.result(l.Targets, l.Record)
}

// or returns the set value, or the default when it is not set.
func or[T comparable](set, fallback T) T {
	var zero T
	if set == zero {
		return fallback
	}
	return set
}

func (l *Load) interval(t Target) time.Duration {
	return or(t.Interval, or(l.Interval, defaultInterval))
}

func (l *Load) timeout() time.Duration { return or(l.Timeout, defaultTimeout) }

func (l *Load) silence() time.Duration { return or(l.FeedStallTimeout, defaultFeedSilence) }

func (l *Load) feedInterval() time.Duration { return or(l.FeedInterval, defaultFeedInterval) }

func (l *Load) body() int { return or(l.BodySize, defaultBody) }

// Samples returns the requests that have finished so far, in that order.
func (l *Load) Samples() []Sample { return l.tally.copySamples() }

// kind is what a flow does.
type kind string

const (
	kindEcho kind = "echo"
	kindFeed kind = "feed"
	kindOnce kind = "once"
)

// kinds lists the kind of each flow of the target.
func (t Target) kinds() []kind {
	var all []kind
	for _, k := range []struct {
		kind kind
		n    int
	}{{kindEcho, t.EchoFlows}, {kindFeed, t.FeedFlows}, {kindOnce, t.OnceFlows}} {
		for range k.n {
			all = append(all, k.kind)
		}
	}
	return all
}
