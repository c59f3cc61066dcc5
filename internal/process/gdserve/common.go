package gdserve

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/process/gdpoll"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

const (
	roleBalancer = "balancer"
	roleAgent    = "agent"

	pollInterval    = time.Second
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 5 * time.Second
)

// role is "balancer" or "agent".
type role string

// provideCommon registers the parts that both roles have.
func provideCommon(inj do.Injector, c gdsettings.Common, r role, w io.Writer) {
	do.ProvideValue(inj, c)
	do.ProvideValue(inj, r)
	log := gdlog.New(w, gdlog.ParseLevel(string(c.LogLevel)))
	do.ProvideValue(inj, log.With("process", c.Name, "role", string(r)))
	do.Provide(inj, provideFleet)
	do.Provide(inj, provideConfig)
	do.Provide(inj, provideMetrics)
	do.ProvideValue(inj, gdoperator.NewRing(gdoperator.DefaultRecords))
}

func provideFleet(inj do.Injector) (gdkey.Fleet, error) {
	key, err := do.MustInvoke[gdsettings.Common](inj).FleetKey()
	if err != nil {
		return gdkey.Fleet{}, errors.Wrap(err, "read the fleet key")
	}
	return gdkey.New(key.Bytes())
}

func provideConfig(inj do.Injector) (*gdpoll.Poller, error) {
	c := do.MustInvoke[gdsettings.Common](inj)
	return &gdpoll.Poller{Platform: c.Platform, Interval: pollInterval}, nil
}

func provideMetrics(inj do.Injector) (*gdmetric.Metrics, error) {
	r := do.MustInvoke[role](inj)
	return gdmetric.New("godwitdrift", map[string]string{"role": string(r)}), nil
}

// process is what the operator port shows of a process.
type process struct {
	settings    gdsettings.Common
	role        role
	incarnation func() uint32
	config      gdnode.Config
	counters    *gdnode.Counters
	state       func() any

	mu      sync.Mutex
	version gdconf.Version
	since   time.Time
}

// Status returns what the process says about itself.
func (p *process) Status() gdoperator.Status {
	st := gdoperator.Status{
		Name:        p.settings.Name,
		Role:        string(p.role),
		Domain:      p.settings.Domain,
		Incarnation: uint64(p.incarnation()),
	}
	v := p.config.View()
	if v == nil {
		return st
	}
	st.Ready = p.config.MayDecide(time.Now())
	st.Version = v.Version().String()
	st.Seen = st.Version
	st.Revision = v.Version().Revision()
	st.Since = p.inForceSince(v.Version())
	return st
}

// inForceSince remembers when a version was first noticed.
func (p *process) inForceSince(v gdconf.Version) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v != p.version {
		p.version = v
		p.since = time.Now()
	}
	return p.since
}

// dump is the state that every process shows.
type dump struct {
	Status   gdoperator.Status `json:"status"`
	Counters []gdnode.Count    `json:"counters"`
	State    any               `json:"state"`
}

// Dump returns the state of the process.
func (p *process) Dump() any {
	return dump{Status: p.Status(), Counters: p.counters.Snapshot(), State: p.state()}
}

// watchVersions logs each new version until the context ends.
func (p *process) watchVersions(ctx context.Context, log gdlog.Logger) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	var last gdconf.Version
	for {
		if v := p.config.View(); v != nil && v.Version() != last {
			last = v.Version()
			p.inForceSince(last)
			log.Event(gdlog.ConfigurationInForce, "version", last.String())
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// serveOperator answers on the operator address until the context ends.
func serveOperator(ctx context.Context, inj do.Injector, p *process) error {
	port := gdoperator.Port{
		Status:    p,
		Dumper:    p,
		Decisions: do.MustInvoke[*gdoperator.Ring](inj),
		Metrics:   do.MustInvoke[*gdmetric.Metrics](inj),
	}
	l, err := net.Listen("tcp", p.settings.OperatorAddress.String())
	if err != nil {
		return errors.Wrap(err, "open the operator address")
	}
	srv := &http.Server{Handler: port.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(stop) // the process ends either way
	}()
	go func() { _ = srv.Serve(l) }() // ends with Shutdown
	return nil
}

// runProcess runs the main duty between the process's first and last event. The
// operator port stays open while the duty drains.
func runProcess(ctx context.Context, inj do.Injector, p *process, duty func(context.Context) error) error {
	log := do.MustInvoke[gdlog.Logger](inj)
	poller := do.MustInvoke[*gdpoll.Poller](inj)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := serveOperator(life, inj, p); err != nil {
		log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	go func() { _ = poller.Run(life) }()
	go p.watchVersions(life, log)
	log.Event(gdlog.ProcessStarted)
	if err := duty(ctx); err != nil {
		log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	log.Event(gdlog.ProcessStopped)
	return nil
}
