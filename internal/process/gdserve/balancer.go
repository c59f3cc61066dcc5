package gdserve

import (
	"context"
	"io"
	"math"
	"runtime/debug"

	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdbalancer"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// balancerMemory is the soft limit in bytes of a balancer's memory. Near it the
// collector works more often, which costs a balancer little: it allocates while
// the configuration changes, and hardly otherwise.
const balancerMemory = 60_000_000

// limitMemory sets the limit, unless the host's environment sets one.
func limitMemory() {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(balancerMemory)
	}
}

// RunBalancer runs a balancer until the context ends. It logs to w.
func RunBalancer(ctx context.Context, s gdsettings.Balancer, w io.Writer) error {
	limitMemory()
	inj := do.New()
	provideCommon(inj, s.Common, roleBalancer, w)
	conf, err := do.Invoke[*gdconfsync.Syncer](inj)
	if err != nil {
		return err
	}
	b := &gdbalancer.Balancer{
		NodeAddress: s.NodeAddress,
		ListenHost:  s.ListenHost,
		Sockets:     s.Sockets,
		Fleet:       do.MustInvoke[gdkey.FleetKey](inj),
		Config:      conf,
		OnDecision:  recordPacket(inj),
		Log:         do.MustInvoke[gdlog.Logger](inj),
	}
	p := newProcess(inj, &b.Counters, func() any { return b.State() })
	return runProcess(ctx, inj, p, b.Run)
}
