package gdtrace

import (
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// core is a decision core together with the handling of its role's events.
type core interface {
	apply(p *Player, now time.Time, e Event) ([]Outcome, error)
}

// Player applies events to new cores. It is not safe for concurrent use.
type Player struct {
	start time.Time
	views map[uint64]*gdconf.View
	cores []core
}

// NewPlayer creates the cores that the header describes. It returns an error
// for a format or a role that this version does not support and for an invalid
// configuration.
func NewPlayer(h Header) (*Player, error) {
	if h.Format != "" && h.Format != Format {
		return nil, errors.Errorf("read trace: unsupported format %q, want %q", h.Format, Format)
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
		return newPacketFilterCore(p), nil
	case RoleAdmission:
		if p.Slots < 1 {
			return nil, errors.Errorf("read trace: process %s: no slots", p.Name)
		}
		return newAdmissionCore(p), nil
	case RoleAtMostOnce:
		return newDedupCore(p), nil
	}
	return nil, errors.Errorf("read trace: process %s: unknown role %q", p.Name, p.Role)
}

// publish stores a configuration by its revision.
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

// Apply applies an event and returns its outcomes. It ignores the outcomes that
// the event contains.
func (p *Player) Apply(e Event) ([]Outcome, error) {
	if e.Kind == KindConfiguration {
		return nil, p.publish(e.Deployment)
	}
	if e.Process < 0 || e.Process >= len(p.cores) {
		return nil, errors.Errorf("process %d is not in the header", e.Process)
	}
	return p.cores[e.Process].apply(p, p.start.Add(e.At), e)
}

// view returns the published configuration with the event's revision.
func (p *Player) view(e Event) (*gdconf.View, error) {
	v, ok := p.views[e.Revision]
	if !ok {
		return nil, errors.Errorf("revision %d was not published", e.Revision)
	}
	return v, nil
}

// required returns a part of an event, or an error if the part is missing.
func required[T any](part *T, name string) (T, error) {
	if part == nil {
		var zero T
		return zero, errors.Errorf("%s is missing", name)
	}
	return *part, nil
}

// errUnsupportedEvent returns the error for an event that does not apply to the
// role of its process.
func errUnsupportedEvent(e Event) error {
	return errors.Errorf("event %q does not apply to the role of the process", e.Kind)
}
