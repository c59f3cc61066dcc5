package gdtrace

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
)

const (
	// packetFilterMaxFlows and packetFilterIdleTimeout bound the flows without a
	// token in a replayed packet filter.
	packetFilterMaxFlows    = 4096
	packetFilterIdleTimeout = time.Minute
)

// balancerCore is the routing core of a balancer.
type balancerCore struct{ gdroute.Balancer }

func (c *balancerCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	set := func(v *gdconf.View) { c.SetView(now, v) }
	decide := func(q gdroute.Packet) gdroute.Decision { return c.Route(now, q) }
	return applyRoute(p, e, routeCore{set, c.Block, c.Unblock, decide})
}

// packetFilterCore is the packet filter of an agent.
type packetFilterCore struct{ gdroute.PacketFilter }

func newPacketFilterCore(p Process) *packetFilterCore {
	return &packetFilterCore{gdroute.PacketFilter{
		Self: p.Upstream, Incarnation: p.Incarnation, MaxFlows: packetFilterMaxFlows, IdleTimeout: packetFilterIdleTimeout,
	}}
}

func (c *packetFilterCore) apply(p *Player, now time.Time, e Event) ([]Outcome, error) {
	switch e.Kind {
	case KindStopping:
		c.SetStopping()
		return nil, nil
	case KindFull:
		c.SetFull(e.On)
		return nil, nil
	case KindBusy:
		c.SetBusy(e.On)
		return nil, nil
	case KindEnd:
		packet, err := required(e.Packet, "packet")
		c.RemoveFlow(packet.Key)
		return nil, err
	}
	decide := func(q gdroute.Packet) gdroute.Decision { return c.Check(now, q) }
	return applyRoute(p, e, routeCore{c.SetView, c.Block, c.Unblock, decide})
}

// routeCore is the common interface of the two routing cores.
type routeCore struct {
	set            func(*gdconf.View)
	block, unblock func()
	decide         func(gdroute.Packet) gdroute.Decision
}

func applyRoute(p *Player, e Event, c routeCore) ([]Outcome, error) {
	switch e.Kind {
	case KindView:
		v, err := p.view(e)
		if err == nil {
			c.set(v)
		}
		return nil, err
	case KindBlock:
		c.block()
		return nil, nil
	case KindUnblock:
		c.unblock()
		return nil, nil
	case KindPacket:
		record, err := required(e.Packet, "packet")
		if err != nil {
			return nil, err
		}
		packet, err := record.packet()
		if err != nil {
			return nil, errors.Wrap(err, "parse packet address")
		}
		return RouteOutcomes(c.decide(packet)), nil
	}
	return nil, errUnsupportedEvent(e)
}
