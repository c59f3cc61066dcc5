package gdserve

import (
	"context"
	"io"

	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdbalancer"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// Balancer runs a balancer until the context ends. It logs to w.
func Balancer(ctx context.Context, s gdsettings.Balancer, w io.Writer) error {
	inj := do.New()
	provideCommon(inj, s.Common, roleBalancer, w)
	conf, err := do.Invoke[*gdconfsync.Syncer](inj)
	if err != nil {
		return err
	}
	b := &gdbalancer.Balancer{
		NodeAddress: s.NodeAddress,
		ListenHost:  s.ListenHost,
		Fleet:       do.MustInvoke[gdkey.Fleet](inj),
		Config:      conf,
		Decided:     recordPacket(inj),
		Log:         do.MustInvoke[gdlog.Logger](inj),
	}
	p := newProcess(inj, &b.Counters, func() any { return b.State() })
	return runProcess(ctx, inj, p, b.Run)
}
