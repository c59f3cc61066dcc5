package gdupstreamsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

const (
	// coldCapacity is the capacity of a cold upstream, in concurrent requests.
	coldCapacity = 1
	// overloadFactor multiplies the service time of a request beyond the capacity.
	overloadFactor = 10
	// shedFactor times the capacity is the number of running requests at which the
	// upstream refuses further ones.
	shedFactor = 2
	// defaultFeedInterval is the default of Upstream.FeedInterval.
	defaultFeedInterval = 100 * time.Millisecond
)

// Upstream is the simulator. Set its exported fields before Run.
type Upstream struct {
	gdlisten.HTTP

	// Service and Name are sent in the headers of each response.
	Service string
	Name    string
	// Slots is the capacity of the warm upstream, in concurrent requests.
	Slots int
	// WarmUp is the time in which the capacity grows from one request to Slots.
	WarmUp time.Duration
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// FeedInterval is the time between two lines of a feed; 0 means 100 ms.
	FeedInterval time.Duration
	// HealthLag is the age of the load that the health and load endpoints report.
	HealthLag time.Duration
	// HealthAlwaysOK makes the health endpoint return 200 even under overload.
	HealthAlwaysOK bool
	// Seed seeds the random choice of the requests that SetShedRate refuses.
	Seed uint64
	// Record counts the starts of requests. Several upstreams may share it.
	Record *Record

	mu          sync.Mutex
	rng         *rand.Rand
	warmUpStart time.Time
	samples     []loadSample
	state       state
	counts      Counts
}

// state is the faults that are set and the number of running requests.
type state struct {
	shedRate float64
	slowdown float64
	silent   bool
	running  int
}

// Counts counts an upstream's requests.
type Counts struct {
	// Started is the number of requests that ran.
	Started int
	// OverCapacity is the number of requests that arrived when the capacity was
	// already used up, whether they ran or were refused.
	OverCapacity int
	// Shed is the number of requests that were refused and did not run.
	Shed int
	// Cancelled is the number of requests that did not finish: they were cancelled or
	// timed out, or their body could not be read.
	Cancelled int
	// OpenFeeds is the number of currently open feeds.
	OpenFeeds int
}

// TurnCold reduces the capacity to that of a cold upstream and restarts the warm-up.
func (u *Upstream) TurnCold() { u.locked(func() { u.warmUpStart = time.Now() }) }

// SetShedRate sets the share of requests that are refused with 503, between 0 and 1.
func (u *Upstream) SetShedRate(rate float64) { u.locked(func() { u.state.shedRate = rate }) }

// SetSlowdown sets the factor that multiplies the service time; 0 means none.
func (u *Upstream) SetSlowdown(factor float64) { u.locked(func() { u.state.slowdown = factor }) }

// SetSilent sets whether the upstream accepts requests without ever responding.
func (u *Upstream) SetSilent(on bool) { u.locked(func() { u.state.silent = on }) }

// Counts returns the counts so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Run serves until ctx ends. The upstream starts cold.
func (u *Upstream) Run(ctx context.Context) error {
	u.locked(func() {
		u.rng = rand.New(rand.NewPCG(u.Seed, 0))
		u.warmUpStart = time.Now()
		if u.Record == nil {
			u.Record = &Record{}
		}
	})
	return u.Serve(ctx, u.handler())
}

// locked calls change while it holds u.mu.
func (u *Upstream) locked(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// capacity returns the number of concurrent requests that the upstream serves without
// overload. u.mu must be held.
func (u *Upstream) capacity(now time.Time) int {
	age := now.Sub(u.warmUpStart)
	if u.WarmUp <= 0 || age >= u.WarmUp {
		return u.Slots
	}
	growth := float64(u.Slots-coldCapacity) * float64(age) / float64(u.WarmUp)
	return coldCapacity + int(growth)
}

// admit accepts a request and returns how long it takes, or reports false if the
// request is shed.
func (u *Upstream) admit(now time.Time) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	capacity := u.capacity(now)
	overloaded := u.state.running >= capacity
	if overloaded {
		u.counts.OverCapacity++
	}
	if u.state.running >= shedFactor*capacity || u.rng.Float64() < u.state.shedRate {
		u.counts.Shed++
		return 0, false
	}
	u.state.running++
	u.counts.Started++
	u.sampleLoad(now)
	d := u.ServiceTime
	if u.state.slowdown > 0 {
		d = time.Duration(float64(d) * u.state.slowdown)
	}
	if overloaded {
		d *= overloadFactor
	}
	return d, true
}

// finish releases a request's slot.
func (u *Upstream) finish(cancelled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state.running--
	u.sampleLoad(time.Now())
	if cancelled {
		u.counts.Cancelled++
	}
}

func (u *Upstream) silent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state.silent
}

func (u *Upstream) addFeeds(delta int) { u.locked(func() { u.counts.OpenFeeds += delta }) }
