package gdserve

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

const (
	roleBalancer = "balancer"
	roleAgent    = "agent"

	shutdownTimeout = 2 * time.Second
	headerTimeout   = 5 * time.Second
)

// role is "balancer" or "agent".
type role string

// incarnation is a random number that identifies one run of a process.
type incarnation uint32

// provideCommon registers the providers of the parts that both roles have.
func provideCommon(inj do.Injector, c gdsettings.Common, r role, w io.Writer) {
	do.ProvideValue(inj, c)
	do.ProvideValue(inj, r)
	queue := gdlog.NewQueue(w, gdlog.DefaultQueueSize)
	do.ProvideValue(inj, queue)
	log := gdlog.New(queue, gdlog.ParseLevel(string(c.LogLevel)))
	do.ProvideValue(inj, log.With("process", c.Name, "role", string(r)))
	do.Provide(inj, provideFleet)
	do.ProvideValue(inj, incarnation(rand.Uint32()))
	do.Provide(inj, provideIdentity)
	do.Provide(inj, provideDialer)
	do.Provide(inj, provideConfig)
	do.Provide(inj, provideMetrics)
	do.ProvideValue(inj, gdoperator.NewRing(gdoperator.DefaultRecords))
}

func provideFleet(inj do.Injector) (gdkey.FleetKey, error) {
	key, err := do.MustInvoke[gdsettings.Common](inj).FleetKey()
	if err != nil {
		return gdkey.FleetKey{}, errors.Wrap(err, "read fleet key")
	}
	return gdkey.New(key.Bytes())
}

func provideIdentity(inj do.Injector) (*gdpeer.Identity, error) {
	fleet, err := do.Invoke[gdkey.FleetKey](inj)
	if err != nil {
		return nil, err
	}
	return gdpeer.NewIdentity(fleet.Derive("peer", gdpeer.SeedBytes))
}

func provideDialer(inj do.Injector) (*gdpeer.Dialer, error) {
	id, err := do.Invoke[*gdpeer.Identity](inj)
	if err != nil {
		return nil, err
	}
	c := do.MustInvoke[gdsettings.Common](inj)
	return &gdpeer.Dialer{
		Identity:    id,
		Name:        c.Name,
		Address:     c.NodeAddress.String(),
		Incarnation: uint64(do.MustInvoke[incarnation](inj)),
	}, nil
}

func provideConfig(inj do.Injector) (*gdconfsync.Syncer, error) {
	dialer, err := do.Invoke[*gdpeer.Dialer](inj)
	if err != nil {
		return nil, err
	}
	c := do.MustInvoke[gdsettings.Common](inj)
	log := do.MustInvoke[gdlog.Logger](inj)
	s := &gdconfsync.Syncer{
		Name:  c.Name,
		Seed:  rand.Uint64(),
		Seeds: seeds(c),
		Platform: &gdplatform.Client{
			URL: c.PlatformURL, ETagKeys: []string{config.IndexKey},
			OnInvalidHost: func(err error) { log.Failure(gdlog.ValueInvalid, err) },
		},
		Peers:    dialer,
		OnChange: logConfiguration(log),
	}
	dialer.Version = s.Version
	return s, nil
}

// seeds returns the peers in the settings.
func seeds(c gdsettings.Common) []gdsync.Member {
	var out []gdsync.Member
	for _, p := range c.Peers {
		out = append(out, gdsync.NewMember(p.Name(), p.Address().String()))
	}
	return out
}

func provideMetrics(inj do.Injector) (*gdmetric.Metrics, error) {
	r := do.MustInvoke[role](inj)
	return gdmetric.New("godwitdrift", map[string]string{"role": string(r)}), nil
}

// process holds the parts of a process that its operator port reports on.
type process struct {
	settings    gdsettings.Common
	role        role
	incarnation incarnation
	config      *gdconfsync.Syncer
	counters    *gdnode.Counters
	state       func() any
	// peers serves the other processes of the fleet.
	peers *gdpeer.Server
	// listener accepts the connections of peers.
	listener countingListener
}

func newProcess(inj do.Injector, counters *gdnode.Counters, state func() any) *process {
	s := do.MustInvoke[*gdconfsync.Syncer](inj)
	p := &process{
		settings:    do.MustInvoke[gdsettings.Common](inj),
		role:        do.MustInvoke[role](inj),
		incarnation: do.MustInvoke[incarnation](inj),
		config:      s,
		counters:    counters,
		state:       state,
	}
	p.peers = &gdpeer.Server{
		Identity:    do.MustInvoke[*gdpeer.Identity](inj),
		Incarnation: uint64(p.incarnation),
		Config:      s,
	}
	return p
}

// Status returns the status of the process.
func (p *process) Status() gdoperator.Status {
	c := p.config.Status()
	st := gdoperator.Status{
		Name:        p.settings.Name,
		Role:        string(p.role),
		Domain:      p.settings.Domain,
		Incarnation: uint64(p.incarnation),
		Ready:       p.config.MayDecide(time.Now()),
		Since:       c.Since,
	}
	if p.config.View() != nil {
		st.Version = c.Version
		st.Seen = c.Seen
		st.Revision = c.Revision
	}
	if c.RejectedReason != "" {
		st.Rejected = &gdoperator.Rejection{Revision: c.RejectedRevision, Reason: c.RejectedReason}
	}
	return st
}

// dump is the state that each process reports.
type dump struct {
	Status        gdoperator.Status `json:"status"`
	Configuration gdconfsync.Status `json:"configuration"`
	RefusedPeers  int64             `json:"refused-peers"`
	Usage         usage             `json:"usage"`
	Counters      []gdnode.Count    `json:"counters"`
	State         any               `json:"state"`
}

// Dump returns the state of the process.
func (p *process) Dump() any {
	return dump{
		Status:        p.Status(),
		Configuration: p.config.Status(),
		RefusedPeers:  p.peers.Refused(),
		Usage:         readUsage(p.listener.bytes.Load()),
		Counters:      p.counters.Snapshot(),
		State:         p.state(),
	}
}

// serveOperator serves the operator port until the context ends.
func serveOperator(ctx context.Context, inj do.Injector, p *process) error {
	port := gdoperator.Port{
		Status:    p,
		Dumper:    p,
		Decisions: do.MustInvoke[*gdoperator.Ring](inj),
		Metrics:   do.MustInvoke[*gdmetric.Metrics](inj),
	}
	l, err := net.Listen("tcp", p.settings.OperatorAddress.String())
	if err != nil {
		return errors.Wrap(err, "open operator address")
	}
	srv := &http.Server{Handler: port.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(shutdownCtx) // the process ends either way
	}()
	go func() { _ = srv.Serve(l) }() // returns after Shutdown
	return nil
}

// servePeers serves the other processes of the fleet until the context ends.
func servePeers(ctx context.Context, p *process) error {
	l, err := net.Listen("tcp", p.settings.NodeAddress.String())
	if err != nil {
		return errors.Wrap(err, "open node address for peers")
	}
	p.listener.Listener = l
	go func() { _ = p.peers.Serve(ctx, &p.listener) }() // returns when the context ends
	return nil
}

// runProcess runs the process: it opens the ports, calls run, and logs the start and the
// end. The operator port and the peer port stay open until run has drained.
func runProcess(ctx context.Context, inj do.Injector, p *process, run func(context.Context) error) error {
	log := do.MustInvoke[gdlog.Logger](inj)
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { do.MustInvoke[*gdlog.Queue](inj).Run(processCtx) })
	if err := errors.WithMessage(p.open(processCtx, inj), "start"); err != nil {
		log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	wg.Go(func() { p.config.Run(processCtx) })
	wg.Go(func() { exportCounters(processCtx, do.MustInvoke[*gdmetric.Metrics](inj), p.counters) })
	wg.Go(func() { p.logEvents(processCtx, log) })
	log.Event(gdlog.ProcessStarted)
	if err := run(ctx); err != nil {
		log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	log.Event(gdlog.ProcessStopped)
	return nil
}

// open opens the process's two ports.
func (p *process) open(ctx context.Context, inj do.Injector) error {
	if err := serveOperator(ctx, inj, p); err != nil {
		return err
	}
	return servePeers(ctx, p)
}
