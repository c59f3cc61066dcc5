package gdplatsim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

// Host is one entry of the host list.
type Host struct {
	Name            string `json:"name"`
	Role            string `json:"role"`
	Domain          string `json:"domain"`
	Address         string `json:"address"`
	OperatorAddress string `json:"operator-address"`
	State           string `json:"state"`
}

// Roles and states of a host.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Platform is the simulator. Set its exported fields before Run.
type Platform struct {
	gdlisten.HTTP

	// Lag is the delay until a published value or host list can be read.
	Lag time.Duration

	mu      sync.Mutex
	values  map[string][]revision // by key, in the order of publication
	hosts   []hostList            // in the order of publication
	changed chan struct{}         // closed and replaced when values or faults change; nil at first
	faults  faults
	reads   uint64
}

// revision is one published version of a value.
type revision struct {
	etag      string
	data      []byte
	visibleAt time.Time
}

// hostList is one published version of the host list.
type hostList struct {
	hosts     []Host
	visibleAt time.Time
}

// faults are the faults that are switched on.
type faults struct {
	down    bool
	stale   bool
	garbage bool
	delay   time.Duration
}

// Publish publishes the values. They can be read after Lag.
func (p *Platform) Publish(values ...config.Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[string][]revision)
	}
	visibleAt := time.Now().Add(p.Lag)
	for _, v := range values {
		old := p.values[v.Key()]
		etag := strconv.Quote(strconv.Itoa(len(old)+1) + "-" + config.Digest(v.Data()))
		p.values[v.Key()] = append(old, revision{etag: etag, data: v.Data(), visibleAt: visibleAt})
	}
	p.notifyWatches()
}

// SetHosts publishes the host list. It can be read after Lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append([]Host{}, hosts...)
	p.hosts = append(p.hosts, hostList{hosts: list, visibleAt: time.Now().Add(p.Lag)})
}

// SetDown switches an outage on or off. During an outage the platform closes the
// connection of each read without an answer.
func (p *Platform) SetDown(on bool) { p.set(func(f *faults) { f.down = on }) }

// SetStale switches stale reads on or off. While on, every second read of a value
// gets the revision before the newest one.
func (p *Platform) SetStale(on bool) { p.set(func(f *faults) { f.stale = on }) }

// SetGarbage switches malformed values on or off. While on, each read of a value gets
// bytes that were never published.
func (p *Platform) SetGarbage(on bool) { p.set(func(f *faults) { f.garbage = on }) }

// SetDelay sets the delay of each answer.
func (p *Platform) SetDelay(d time.Duration) { p.set(func(f *faults) { f.delay = d }) }

// Reads returns the number of reads so far.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error { return p.Serve(ctx, p.handler()) }

func (p *Platform) set(change func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notifyWatches()
}

// notifyWatches makes waiting watches check their values again. p.mu must be held.
func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// countRead counts one read, and returns its number and the faults to apply.
func (p *Platform) countRead() (uint64, faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.reads, p.faults
}

// visibleRevision returns the revision of the value that a read gets at the time now,
// and a channel that is closed when values or faults change next. A revision that
// becomes visible because its lag has passed does not close the channel.
func (p *Platform) visibleRevision(key string, stale bool, now time.Time) (revision, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	all := p.values[key]
	n := len(all)
	for n > 0 && all[n-1].visibleAt.After(now) {
		n--
	}
	if stale && n > 1 {
		n--
	}
	if n == 0 {
		return revision{}, false, p.changed
	}
	return all[n-1], true, p.changed
}

// visibleHosts returns the newest host list that can be read at the time now.
func (p *Platform) visibleHosts(now time.Time) []Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.hosts) - 1; i >= 0; i-- {
		if !p.hosts[i].visibleAt.After(now) {
			return p.hosts[i].hosts
		}
	}
	return []Host{}
}
