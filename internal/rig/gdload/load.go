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

// CodeDomainOut is the QUIC application error code with which an agent aborts
// the flows of a failure domain that goes out of service.
const CodeDomainOut = 0x6764

// The agent's headers on a refused request: its outcome, the reason, and an issued
// key for the retry.
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
	defaultBodySize = 600 // bytes
	defaultOncePath = "/unlock"

	defaultFeedInterval     = 100 * time.Millisecond
	defaultFeedStallTimeout = 5 * time.Second
)

// Target is one service and the flows that the load opens to it.
type Target struct {
	// Service is the name of the service that each answer must carry.
	Service string
	// Addr is the service address.
	Addr netip.AddrPort
	// Upstreams are the names of the upstreams whose imbalance is computed. Empty
	// means those that answered.
	Upstreams []string
	// EchoFlows, FeedFlows and OnceFlows are the numbers of flows of each kind.
	EchoFlows, FeedFlows, OnceFlows int
	// Interval overrides Load.Interval unless it is 0.
	Interval time.Duration
	// ListenPacket opens the packet connection of a flow; nil means a UDP socket on
	// 127.0.0.1.
	ListenPacket func() (net.PacketConn, error)
	// OncePath is the path of at-most-once requests; empty means "/unlock".
	OncePath string
}

// Load is the load generator. Set its exported fields before Run.
type Load struct {
	// Targets are the services under load.
	Targets []Target
	// Roots are the certificate authorities that the callers trust.
	Roots *x509.CertPool
	// Record is the record of the upstream simulators, or nil if it is unavailable.
	Record *gdupstreamsim.Record
	// Interval is the mean pause of a flow between two requests; 0 means 50 ms.
	Interval time.Duration
	// Timeout is the timeout of one request; 0 means 5 s.
	Timeout time.Duration
	// FeedInterval is the time between two lines of a feed; 0 means 100 ms.
	FeedInterval time.Duration
	// FeedStallTimeout is the time within which a feed must receive a quarter of the
	// expected lines; otherwise its flow is broken. 0 means 5 s.
	FeedStallTimeout time.Duration
	// BodySize is the size of a request body; 0 means 600 bytes.
	BodySize int
	// Seed seeds the request bodies and the pauses.
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
		return nil, errors.Errorf("read certificate authorities: no certificate in %s", file)
	}
	return pool, nil
}

// Run runs all flows until ctx ends, then closes them.
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

// Result returns the counts so far.
func (l *Load) Result() Result {
	return l.tally.result(l.Targets, l.Record)
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (l *Load) interval(t Target) time.Duration {
	return orDefault(t.Interval, orDefault(l.Interval, defaultInterval))
}

func (l *Load) timeout() time.Duration { return orDefault(l.Timeout, defaultTimeout) }

func (l *Load) feedStallTimeout() time.Duration {
	return orDefault(l.FeedStallTimeout, defaultFeedStallTimeout)
}

func (l *Load) feedInterval() time.Duration {
	return orDefault(l.FeedInterval, defaultFeedInterval)
}

func (l *Load) bodySize() int { return orDefault(l.BodySize, defaultBodySize) }

// Samples returns the requests that have finished so far, in that order.
func (l *Load) Samples() []Sample { return l.tally.copySamples() }

// kind is the kind of a flow.
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
