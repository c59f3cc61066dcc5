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

// balancerMemoryLimit is the soft memory limit of a balancer in bytes. Near the limit
// the garbage collector runs more often. This costs a balancer little, because it
// hardly allocates except when the configuration changes.
const balancerMemoryLimit = 60_000_000

// limitMemory sets the memory limit, unless GOMEMLIMIT sets one.
func limitMemory() {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(balancerMemoryLimit)
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
