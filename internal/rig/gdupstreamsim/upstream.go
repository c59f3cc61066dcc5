package gdupstreamsim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

const (
	// coldBears is the number of requests that a cold upstream bears.
	coldBears = 1
	// overloadFactor multiplies the service time of a request over what the
	// upstream bears.
	overloadFactor = 10
	// shedFactor times what the upstream bears is where it starts to shed.
	shedFactor = 2
	// defaultFeedInterval is the time between two lines of a feed.
	defaultFeedInterval = 100 * time.Millisecond
)

// Upstream is the stand-in. Set its exported fields before Run.
type Upstream struct {
	gdlisten.HTTP

	// Service and Name stand in the headers of each answer.
	Service string
	Name    string
	// Slots is the number of requests that the warm upstream bears.
	Slots int
	// WarmUp is the time in which what it bears grows from one to Slots.
	WarmUp time.Duration
	// ServiceTime is the time that one request takes.
	ServiceTime time.Duration
	// FeedInterval is the time between two lines of a feed; 0 means 100 ms.
	FeedInterval time.Duration
	// HealthLag is the age of the state that the health and load endpoints show.
	HealthLag time.Duration
	// HealthAlwaysOK lets the health endpoint always answer 200.
	HealthAlwaysOK bool
	// Seed seeds the random choice of Shed.
	Seed uint64
	// Record notes the starts. It may be shared by several upstreams.
	Record *Record

	mu     sync.Mutex
	rng    *rand.Rand
	warm   time.Time // since when it warms up
	loads  []loadAt
	state  controls
	counts Counts
}

// controls are the faults that are switched on.
type controls struct {
	shed    float64
	slow    float64
	silence bool
	running int
}

// Counts are what an upstream has seen.
type Counts struct {
	// Started is the number of requests that ran.
	Started int
	// OverCapacity is the number of requests that came while the upstream already ran
	// all that it bears.
	OverCapacity int
	// Shed is the number of requests refused without a start.
	Shed int
	// Cancelled is the number of requests whose caller went away in the run.
	Cancelled int
	// OpenFeeds is the number of feeds that are open.
	OpenFeeds int
}

// TurnCold makes the upstream bear one request again, and warm up from there.
func (u *Upstream) TurnCold() { u.control(func() { u.warm = time.Now() }) }

// SetShedRate refuses the given share of requests with 503, between 0 and 1.
func (u *Upstream) SetShedRate(share float64) { u.control(func() { u.state.shed = share }) }

// SetSlowdown multiplies the service time by the factor.
func (u *Upstream) SetSlowdown(factor float64) { u.control(func() { u.state.slow = factor }) }

// SetSilent switches silence on or off: requests are taken and never answered.
func (u *Upstream) SetSilent(on bool) { u.control(func() { u.state.silence = on }) }

// Counts returns what the upstream has seen so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

// Run serves until ctx ends. The upstream starts cold.
func (u *Upstream) Run(ctx context.Context) error {
	u.control(func() {
		u.rng = rand.New(rand.NewPCG(u.Seed, 0))
		u.warm = time.Now()
		if u.Record == nil {
			u.Record = &Record{}
		}
	})
	return u.Serve(ctx, u.handler())
}

func (u *Upstream) control(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

// bears returns how many requests the upstream bears at the same time. The
// caller holds the lock.
func (u *Upstream) bears(now time.Time) int {
	age := now.Sub(u.warm)
	if u.WarmUp <= 0 || age >= u.WarmUp {
		return u.Slots
	}
	grown := float64(u.Slots-coldBears) * float64(age) / float64(u.WarmUp)
	return coldBears + int(grown)
}

// admit takes a request in, or reports false when it sheds. The returned time
// is how long the request takes.
func (u *Upstream) admit(now time.Time) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	bears := u.bears(now)
	over := u.state.running >= bears
	if over {
		u.counts.OverCapacity++
	}
	if u.state.running >= shedFactor*bears || u.rng.Float64() < u.state.shed {
		u.counts.Shed++
		return 0, false
	}
	u.state.running++
	u.counts.Started++
	u.noteLoad(now)
	d := u.ServiceTime
	if u.state.slow > 0 {
		d = time.Duration(float64(d) * u.state.slow)
	}
	if over {
		d *= overloadFactor
	}
	return d, true
}

// done gives a request's slot back.
func (u *Upstream) done(cancelled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state.running--
	u.noteLoad(time.Now())
	if cancelled {
		u.counts.Cancelled++
	}
}

func (u *Upstream) silent() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state.silence
}

func (u *Upstream) feeds(delta int) { u.control(func() { u.counts.OpenFeeds += delta }) }
