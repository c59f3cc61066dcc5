package gdupstreamsim

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxSamples bounds the load samples that an upstream stores to report its load with
// a lag.
const maxSamples = 4096

// Load is the response of the load endpoint.
type Load struct {
	Running  int `json:"running"`
	Slots    int `json:"slots"`
	Capacity int `json:"bears"`
}

// loadSample is the load from a given time until the next sample.
type loadSample struct {
	since time.Time
	load  Load
}

// sampleLoad stores the current load, which the endpoints report after HealthLag. u.mu
// must be held.
func (u *Upstream) sampleLoad(now time.Time) {
	if u.HealthLag == 0 {
		return
	}
	if len(u.samples) == maxSamples {
		u.samples = append(u.samples[:0], u.samples[maxSamples/2:]...)
	}
	u.samples = append(u.samples, loadSample{since: now, load: u.currentLoad(now)})
}

// currentLoad returns the load at the given time. u.mu must be held.
func (u *Upstream) currentLoad(now time.Time) Load {
	return Load{Running: u.state.running, Slots: u.Slots, Capacity: u.capacity(now)}
}

// reportedLoad returns the load that the endpoints report, which is HealthLag old. If
// no sample is that old, the upstream reports itself idle with full capacity.
func (u *Upstream) reportedLoad(now time.Time) Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.HealthLag == 0 {
		return u.currentLoad(now)
	}
	for i := len(u.samples) - 1; i >= 0; i-- {
		if now.Sub(u.samples[i].since) >= u.HealthLag {
			return u.samples[i].load
		}
	}
	return Load{Slots: u.Slots, Capacity: u.Slots}
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(u.reportedLoad(time.Now()))
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	l := u.reportedLoad(time.Now())
	if !u.HealthAlwaysOK && l.Running >= shedFactor*l.Capacity {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
