package gdserve

import (
	"context"
	"io"
	"math/rand/v2"

	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdbalancer"
	"godwitdrift.example/godwitdrift/internal/process/gdpoll"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// Balancer runs a balancer until the context ends. It logs to w.
func Balancer(ctx context.Context, s gdsettings.Balancer, w io.Writer) error {
	inj := do.New()
	provideCommon(inj, s.Common, roleBalancer, w)
	fleet, err := do.Invoke[gdkey.Fleet](inj)
	if err != nil {
		return err
	}
	conf := do.MustInvoke[*gdpoll.Poller](inj)
	b := &gdbalancer.Balancer{
		NodeAddress: s.NodeAddress,
		ListenHost:  s.ListenHost,
		Fleet:       fleet,
		Config:      conf,
	}
	incarnation := rand.Uint32()
	p := &process{
		settings:    s.Common,
		role:        roleBalancer,
		incarnation: func() uint32 { return incarnation },
		config:      conf,
		counters:    &b.Counters,
		state:       func() any { return b.State() },
	}
	return runProcess(ctx, inj, p, b.Run)
}
