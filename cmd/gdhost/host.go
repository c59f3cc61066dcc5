package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdmetric"
	"godwitdrift.example/godwitdrift/platform"
)

const (
	// metricsPort and metricsPath are where a process serves its metrics, as
	// configured for the platform in deploy/system.toml.
	metricsPort = 9464
	metricsPath = "/metrics"
	// statePath is where a process serves its state, on the same port.
	statePath = "/state"
	// readHeaderTimeout is the timeout for the header of a client's request.
	readHeaderTimeout = 2 * time.Second
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Value: platform.SettingsPath(), Usage: "the settings file that the platform writes",
	}
}

func levelFlag() cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: gdlog.Info.String(), Usage: "debug, info or error"}
}

// process has what the processes of entry hosts and of agents have in common.
type process struct {
	path     string
	hangups  <-chan os.Signal
	settings *platform.Settings
	reload   func(*platform.Settings)
	state    func(now time.Time) any
	log      gdlog.Logger
	metrics  *gdmetric.Metrics
	lines    *gdlog.Queue
}

func newProcess(cmd *cli.Command, role string, hangups <-chan os.Signal) (*process, error) {
	s, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return nil, err
	}
	lines := gdlog.NewQueue(os.Stdout, gdlog.DefaultQueueSize)
	log := gdlog.New(lines, gdlog.ParseLevel(cmd.String("log-level"))).With("process", s.Name())
	return &process{
		path: cmd.String("settings"), settings: s, log: log, lines: lines, hangups: hangups,
		metrics: gdmetric.New("godwitdrift_"+role, map[string]string{"process": s.Name()}),
	}, nil
}

// run runs work together with the log and the servers for readiness, metrics and state.
func (p *process) run(ctx context.Context, ready func() bool, work func(context.Context) error) error {
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() { defer close(logged); p.lines.Run(logging) }()
	defer func() { stopLog(); <-logged }()

	p.log.Event(gdlog.ProcessStarted, "domain", p.settings.Domain(), "first-start", p.settings.FirstStart())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error {
		return serve(serving, p.settings.ReadyAddress(), map[string]http.Handler{platform.ReadyPath: readiness(ready)})
	})
	g.Go(func() error {
		at := netip.AddrPortFrom(p.settings.ReadyAddress().Addr(), metricsPort)
		return serve(serving, at, map[string]http.Handler{metricsPath: p.metrics, statePath: http.HandlerFunc(p.serveState)})
	})
	g.Go(func() error { p.watchSettings(serving); return nil })
	err := work(ctx)
	stop()
	if served := g.Wait(); err == nil {
		err = served
	}
	if closed := p.metrics.Close(); err == nil {
		err = closed
	}
	if err != nil {
		p.log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	p.log.Event(gdlog.ProcessStopped)
	return nil
}

func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// serveState serves the state of the process.
func (p *process) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(p.state(time.Now())); err != nil {
		p.log.Failure(gdlog.ResponseFailed, err, "path", statePath)
	}
}

// serve serves the paths until the context is cancelled.
func serve(ctx context.Context, at netip.AddrPort, paths map[string]http.Handler) error {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return errors.Wrapf(err, "listen at %s", at)
	}
	mux := http.NewServeMux()
	for path, h := range paths {
		mux.Handle(path, h)
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", at)
	}
	return nil
}
