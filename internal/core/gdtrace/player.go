package gdtrace

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// core is a recorded core behind the events that its role takes.
type core interface {
	apply(p *Player, now time.Time, e Event) ([]Outcome, error)
}

// Player feeds events to fresh cores. It is not safe for concurrent use.
type Player struct {
	start time.Time
	views map[uint64]*gdconf.View
	cores []core
}

// NewPlayer builds the cores of the header. Errors are a format or a role that
// this version does not know, and a configuration that is not valid.
func NewPlayer(h Header) (*Player, error) {
	if h.Format != "" && h.Format != Format {
		return nil, errors.Errorf("read trace: format %q is not %q", h.Format, Format)
	}
	p := &Player{start: time.Unix(0, h.Start), views: make(map[uint64]*gdconf.View)}
	if err := p.publish(h.Deployment); err != nil {
		return nil, err
	}
	for _, spec := range h.Processes {
		c, err := newCore(spec)
		if err != nil {
			return nil, err
		}
		p.cores = append(p.cores, c)
	}
	return p, nil
}

func newCore(p Process) (core, error) {
	switch p.Role {
	case RoleBalancer:
		return &balancerCore{}, nil
	case RolePacketFilter:
		return newDoorCore(p), nil
	case RoleAdmission:
		if p.Slots < 1 {
			return nil, errors.Errorf("read trace: process %s has no slots", p.Name)
		}
		return newAdmitCore(p), nil
	case RoleAtMostOnce:
		return newOnceCore(p), nil
	}
	return nil, errors.Errorf("read trace: process %s has the unknown role %q", p.Name, p.Role)
}

// publish makes a configuration known under its revision.
func (p *Player) publish(text string) error {
	d, err := config.Parse([]byte(text))
	if err != nil {
		return errors.Wrap(err, "read trace: configuration")
	}
	v, err := gdconf.New(d)
	if err != nil {
		return errors.Wrap(err, "read trace: configuration")
	}
	p.views[d.Revision] = v
	return nil
}

// Apply tells a process what the event says and returns what it does. It does
// not look at the event's own outcomes.
func (p *Player) Apply(e Event) ([]Outcome, error) {
	if e.Kind == KindConfiguration {
		return nil, p.publish(e.Deployment)
	}
	if e.Process < 0 || e.Process >= len(p.cores) {
		return nil, errors.Errorf("process %d is not in the header", e.Process)
	}
	return p.cores[e.Process].apply(p, p.start.Add(e.At), e)
}

// view returns the published configuration that the event names.
func (p *Player) view(e Event) (*gdconf.View, error) {
	v, ok := p.views[e.Revision]
	if !ok {
		return nil, errors.Errorf("revision %d was not published", e.Revision)
	}
	return v, nil
}

// need returns a part of an event that its kind requires.
func need[T any](part *T, name string) (T, error) {
	if part == nil {
		var zero T
		return zero, errors.Errorf("%s is missing", name)
	}
	return *part, nil
}

// unfit is the error for an event that the process's role does not take.
func unfit(e Event) error { return errors.Errorf("the process takes no event %q", e.Kind) }
