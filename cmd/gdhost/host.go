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
	// deploy/system.toml tells the platform.
	metricsPort = 9464
	metricsPath = "/metrics"
	// statePath is where a process shows its state, at the same port.
	statePath = "/state"
	// headerTime bounds the time that an HTTP client may take to send its request.
	headerTime = 2 * time.Second
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Value: platform.SettingsPath(), Usage: "the settings file that the platform writes",
	}
}

func levelFlag() cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: gdlog.Info.String(), Usage: "debug, info or error"}
}

// host is what both kinds of processes need besides their work.
type host struct {
	path     string
	settings *platform.Settings
	reload   func(*platform.Settings)
	state    func(now time.Time) any
	log      gdlog.Logger
	metrics  *gdmetric.Metrics
	lines    *gdlog.Queue
}

func newHost(cmd *cli.Command, role string) (*host, error) {
	s, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return nil, err
	}
	lines := gdlog.NewQueue(os.Stdout, gdlog.DefaultQueueSize)
	log := gdlog.New(lines, gdlog.ParseLevel(cmd.String("log-level"))).With("process", s.Name())
	return &host{
		path: cmd.String("settings"), settings: s, log: log, lines: lines,
		metrics: gdmetric.New("godwitdrift_"+role, map[string]string{"process": s.Name()}),
	}, nil
}

// run runs the work with the servers for readiness and metrics and the log.
func (h *host) run(ctx context.Context, ready func() bool, work func(context.Context) error) error {
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() { defer close(logged); h.lines.Run(logging) }()
	defer func() { stopLog(); <-logged }()

	h.log.Event(gdlog.ProcessStarted, "domain", h.settings.Domain(), "first-start", h.settings.FirstStart())
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error {
		return serve(serving, h.settings.ReadyAddress(), map[string]http.Handler{platform.ReadyPath: readiness(ready)})
	})
	g.Go(func() error {
		at := netip.AddrPortFrom(h.settings.ReadyAddress().Addr(), metricsPort)
		return serve(serving, at, map[string]http.Handler{metricsPath: h.metrics, statePath: http.HandlerFunc(h.dump)})
	})
	g.Go(func() error { h.watchSettings(serving); return nil })
	err := work(ctx)
	stop()
	if served := g.Wait(); err == nil {
		err = served
	}
	if closed := h.metrics.Close(); err == nil {
		err = closed
	}
	if err != nil {
		h.log.Failure(gdlog.ProcessFailed, err)
		return err
	}
	h.log.Event(gdlog.ProcessStopped)
	return nil
}

func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// dump answers with the state of the process.
func (h *host) dump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(h.state(time.Now())); err != nil {
		h.log.Failure(gdlog.PeerUnreachable, err, "asked", statePath)
	}
}

// serve answers at the paths until the context ends.
func serve(ctx context.Context, at netip.AddrPort, paths map[string]http.Handler) error {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return errors.Wrapf(err, "listen at %s", at)
	}
	mux := http.NewServeMux()
	for path, h := range paths {
		mux.Handle(path, h)
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", at)
	}
	return nil
}
