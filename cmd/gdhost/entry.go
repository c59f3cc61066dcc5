package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdentry"
	"godwitdrift.example/godwitdrift/platform"
)

const (
	// connectTime bounds the time to open a connection to the store, which answers
	// within milliseconds.
	connectTime = 500 * time.Millisecond
	// keepIdle is how long an unused connection to the store is kept.
	keepIdle = 10 * time.Second
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry host",
		Description: `An entry host takes the callers' packets and sends each to the agent beside the
upstream of its flow. After SIGTERM it says that it is not ready and goes on
forwarding until no more packets come.`,
		Flags: []cli.Flag{settingsFlag(), levelFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			h, err := newHost(cmd, "entry")
			if err != nil {
				return err
			}
			s := h.settings
			client := storeClient()
			store := func(s *platform.Settings) *platform.Store {
				return &platform.Store{
					Address: s.StoreAddress().String(), HTTP: client,
					OnInvalid: func(err error) { h.log.Failure(gdlog.ValueInvalid, err) },
				}
			}
			e := &gdentry.EntryHost{
				CallerAddress: s.CallerAddress(),
				HopAddress:    netip.AddrPortFrom(s.CallerAddress().Addr(), s.HopPort()),
				FeedAddress:   netip.AddrPortFrom(s.CallerAddress().Addr(), s.FeedPort()),
				Seeds:         s.Seeds(), Rank: s.Rank(),
				Codec: platform.Codec{}, Source: store(s),
				Log: h.log, Scope: h.metrics.Scope(), Grace: s.GracePeriod(),
			}
			h.state = func(now time.Time) any { return e.State(now) }
			h.reload = func(s *platform.Settings) { e.Reload(s.Seeds(), store(s), s.GracePeriod()) }
			return h.run(ctx, e.Ready, e.Run)
		},
	}
}

// storeClient returns a client that keeps one connection to the store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTime}).DialContext,
		IdleConnTimeout:     keepIdle,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
}
