package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/core/gdguard"
	"godwitdrift.example/godwitdrift/internal/process/gdpacketagent"
	"godwitdrift.example/godwitdrift/platform"
)

func agentCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the agent of an upstream",
		Description: `An agent delivers the packets of its upstream's flows and sends the upstream's
packets to the callers. After SIGTERM it accepts no new flow and stops when the
upstream has no request in progress.`,
		Flags: []cli.Flag{settingsFlag(), levelFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := newProcess(cmd, "agent", hangups)
			if err != nil {
				return err
			}
			s := p.settings
			if s.Service() == "" {
				return errors.Errorf("settings of %s name no upstream", s.Name())
			}
			a := &gdpacketagent.Agent{
				Guard:           gdguard.Guard{Service: s.Service(), ObservedFromStart: s.FirstStart(), MaxFlowAge: s.MaxFlowAge(), Heartbeat: s.Heartbeat()},
				HopAddress:      netip.AddrPortFrom(s.CallerAddress().Addr(), s.HopPort()),
				UpstreamAddress: s.UpstreamAddress(), OutboundAddress: s.OutboundAddress(), CallerPort: s.CallerAddress().Port(),
				Codec: platform.Codec{},
				Log:   p.log, Scope: p.metrics.Scope(), Grace: s.GracePeriod(),
			}
			p.state = func(now time.Time) any { return a.State(now) }
			p.reload = func(s *platform.Settings) { a.Reload(s.GracePeriod()) }
			return p.run(ctx, a.Ready, a.Run)
		},
	}
}
