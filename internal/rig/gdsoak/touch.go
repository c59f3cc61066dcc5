package gdsoak

import (
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdhostrig"
)

// touch knows which hosts are in trouble, or were lately. The store is the host "".
type touch struct {
	trouble map[string]*spell
	any     map[string]time.Time // the last start, end or trouble of each host
}

// spell is a time of trouble that may overlap others.
type spell struct {
	n    int
	till time.Time
}

func newTouch() touch {
	return touch{trouble: make(map[string]*spell), any: make(map[string]time.Time)}
}

func (t *touch) saw(ev gdhostrig.Event) {
	t.any[ev.Host] = ev.At
	s := t.trouble[ev.Host]
	if s == nil {
		s = &spell{}
		t.trouble[ev.Host] = s
	}
	switch ev.Kind {
	case gdhostrig.FaultStarted:
		s.n++
	case gdhostrig.FaultEnded:
		s.n--
		s.till = ev.At
	}
}

// calm reports whether none of the hosts has had unplanned trouble since the time.
func (t *touch) calm(since time.Time, hosts ...string) bool {
	for _, h := range hosts {
		if s := t.trouble[h]; s != nil && (s.n > 0 || s.till.After(since)) {
			return false
		}
	}
	return true
}

// untouched reports whether the hosts have had neither trouble nor planned work since
// the time.
func (t *touch) untouched(since time.Time, hosts ...string) bool {
	for _, h := range hosts {
		if t.any[h].After(since) {
			return false
		}
	}
	return t.calm(since, hosts...)
}

// allCalm reports whether nothing at all has had trouble or planned work since the time.
func (t *touch) allCalm(since time.Time) bool {
	for h := range t.any {
		if !t.untouched(since, h) {
			return false
		}
	}
	return true
}
