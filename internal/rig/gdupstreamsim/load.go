package gdupstreamsim

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxLoads bounds the past states that an upstream keeps for its lagging
// endpoints.
const maxLoads = 4096

// Load is what the load endpoint answers.
type Load struct {
	Running  int `json:"running"`
	Slots    int `json:"slots"`
	Capacity int `json:"bears"`
}

// loadAt is the load since a time.
type loadAt struct {
	since time.Time
	load  Load
}

// noteLoad remembers the present load. The caller holds the lock.
func (u *Upstream) noteLoad(now time.Time) {
	if u.HealthLag == 0 {
		return
	}
	if len(u.loads) == maxLoads {
		u.loads = append(u.loads[:0], u.loads[maxLoads/2:]...)
	}
	u.loads = append(u.loads, loadAt{since: now, load: u.present(now)})
}

func (u *Upstream) present(now time.Time) Load {
	return Load{Running: u.state.running, Slots: u.Slots, Capacity: u.bears(now)}
}

// shown returns the load as the endpoints show it, HealthLag old.
func (u *Upstream) shown(now time.Time) Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.HealthLag == 0 {
		return u.present(now)
	}
	for i := len(u.loads) - 1; i >= 0; i-- {
		if now.Sub(u.loads[i].since) >= u.HealthLag {
			return u.loads[i].load
		}
	}
	return Load{Slots: u.Slots, Capacity: u.Slots}
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.shown(time.Now()))
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	l := u.shown(time.Now())
	if !u.HealthAlwaysOK && l.Running >= shedFactor*l.Capacity {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
