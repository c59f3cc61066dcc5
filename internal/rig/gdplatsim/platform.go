package gdplatsim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdlisten"
)

// Host is one row of the host list.
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

// Platform is the stand-in. Set its exported fields before Run.
type Platform struct {
	gdlisten.HTTP

	// Lag is the time after which a published value or host list can be read.
	Lag time.Duration

	mu      sync.Mutex
	values  map[string][]revision
	hosts   []hostList
	changed chan struct{}
	faults  faults
	reads   uint64
}

// revision is one published state of a value.
type revision struct {
	etag    string
	data    []byte
	visible time.Time
}

// hostList is one published state of the host list.
type hostList struct {
	hosts   []Host
	visible time.Time
}

// faults says which faults are switched on.
type faults struct {
	down    bool
	stale   bool
	garbage bool
	slow    time.Duration
}

// Publish makes the values readable after Lag.
func (p *Platform) Publish(values ...config.Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[string][]revision)
	}
	visible := time.Now().Add(p.Lag)
	for _, v := range values {
		old := p.values[v.Key()]
		etag := strconv.Quote(strconv.Itoa(len(old)+1) + "-" + config.Digest(v.Data()))
		p.values[v.Key()] = append(old, revision{etag: etag, data: v.Data(), visible: visible})
	}
	p.wake()
}

// SetHosts makes the host list readable after Lag.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append([]Host{}, hosts...)
	p.hosts = append(p.hosts, hostList{hosts: list, visible: time.Now().Add(p.Lag)})
}

// SetDown switches the outage on or off: reads are cut without an answer.
func (p *Platform) SetDown(on bool) { p.set(func(f *faults) { f.down = on }) }

// SetStale switches staleness on or off: every second read of a value gets the
// revision before the newest one.
func (p *Platform) SetStale(on bool) { p.set(func(f *faults) { f.stale = on }) }

// SetGarbage switches garbage on or off: reads of values get bytes that nobody
// published.
func (p *Platform) SetGarbage(on bool) { p.set(func(f *faults) { f.garbage = on }) }

// SetDelay delays each answer by d.
func (p *Platform) SetDelay(d time.Duration) { p.set(func(f *faults) { f.slow = d }) }

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
	p.wake()
}

// wake lets waiting watches look again. The caller holds the lock.
func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// count counts one read and returns its number and the faults to apply.
func (p *Platform) count() (uint64, faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.reads, p.faults
}

// look returns the revision that a reader sees now, and a channel that closes
// when it may see another one.
func (p *Platform) look(key string, stale bool, now time.Time) (revision, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	all := p.values[key]
	n := len(all)
	for n > 0 && all[n-1].visible.After(now) {
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

func (p *Platform) visibleHosts(now time.Time) []Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.hosts) - 1; i >= 0; i-- {
		if !p.hosts[i].visible.After(now) {
			return p.hosts[i].hosts
		}
	}
	return []Host{}
}
