package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/platform"
)

const (
	// connectTimeout is the timeout for a connection to the store, which accepts
	// connections within milliseconds.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to the store is kept open.
	idleTimeout = 10 * time.Second
)

func entryCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry host",
		Description: `An entry host receives the callers' packets and sends each to the agent of its
flow's upstream. After SIGTERM it reports that it is not ready and keeps
forwarding until no more packets arrive.`,
		Flags: []cli.Flag{settingsFlag(), levelFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := newProcess(cmd, "entry", hangups)
			if err != nil {
				return err
			}
			s := p.settings
			client := storeClient()
			var eras gddiscovery.EraTracker
			store := func(s *platform.Settings) *platform.Store {
				return &platform.Store{
					Address: s.StoreAddress().String(), HTTP: client, Eras: &eras,
					OnInvalid: func(err error) { p.log.Failure(gdlog.ValueInvalid, err) },
				}
			}
			e := &gdentry.EntryHost{
				CallerAddress: s.CallerAddress(),
				HopAddress:    netip.AddrPortFrom(s.CallerAddress().Addr(), s.HopPort()),
				FeedAddress:   netip.AddrPortFrom(s.CallerAddress().Addr(), s.FeedPort()),
				Seeds:         s.Seeds(), Domain: s.Domain(), Rank: s.Rank(),
				LinkBytesPerSecond: s.LinkBytesPerSecond(), MaxFlowAge: s.MaxFlowAge(),
				Codec: platform.Codec{}, Source: store(s),
				Log: p.log, Scope: p.metrics.Scope(), Grace: s.GracePeriod(),
			}
			p.state = func(now time.Time) any { return e.State(now) }
			p.reload = func(s *platform.Settings) { e.Reload(s.Seeds(), store(s), s.GracePeriod()) }
			return p.run(ctx, e.Ready, e.Run)
		},
	}
}

// storeClient returns an HTTP client that keeps one connection to the store open.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
}
