// Package gdpath chooses the balancer through which an agent answers a caller.
//
// The agent answers through the balancer that delivered the caller's last
// packet. When packets to a caller stay without any packet from it, the path is
// taken for dead, and the agent answers through another balancer that it knows.
//
// # Usage
//
//	t := gdpath.Table{Size: 8000, Rand: r}
//	t.Received(now, caller, balancer)
//	via, ok := t.Send(now, caller)
package gdpath

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// PathTimeout is how long sends stay unanswered before the path is changed.
	PathTimeout = 250 * time.Millisecond
	// deadSends is how many sends must be unanswered as well, so that one lost
	// packet on an idle flow changes nothing.
	deadSends = 3
	// maxBalancers bounds the balancers that a table knows.
	maxBalancers = 64
	// balancerIdle is how long a balancer is used after its last packet.
	balancerIdle = time.Minute
)

// Table knows the path of each caller. The exported fields are set before the
// first call. It is used from one goroutine at a time.
type Table struct {
	// MaxCallers bounds the callers; the one that was idle longest is forgotten.
	MaxCallers int
	// Rand chooses among balancers.
	Rand *rand.Rand

	paths     *simplelru.LRU[netip.AddrPort, path]
	balancers *simplelru.LRU[netip.AddrPort, time.Time]
	changed   uint64
}

// path is the way to one caller.
type path struct {
	via netip.AddrPort
	// since is the time of the first send that no packet has answered yet.
	since time.Time
	// sends counts the unanswered sends.
	sends int
}

func (t *Table) init() {
	if t.paths != nil {
		return
	}
	// NewLRU fails only for a size below one.
	t.paths, _ = simplelru.NewLRU[netip.AddrPort, path](max(t.MaxCallers, 1), nil)
	t.balancers, _ = simplelru.NewLRU[netip.AddrPort, time.Time](maxBalancers, nil)
}

// Received notes that a balancer delivered a packet of the caller.
func (t *Table) Received(now time.Time, caller, balancer netip.AddrPort) {
	t.init()
	t.balancers.Add(balancer, now)
	t.paths.Add(caller, path{via: balancer})
}

// PickBalancer returns the balancer through which to send to the caller, and counts the
// send. It reports false for a caller from which no packet came.
func (t *Table) PickBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	t.init()
	p, ok := t.paths.Get(caller)
	if !ok {
		return netip.AddrPort{}, false
	}
	if p.sends == 0 {
		p.since = now
	}
	p.sends++
	if p.sends > deadSends && now.Sub(p.since) >= PathTimeout {
		p = t.reroute(now, p)
	}
	t.paths.Add(caller, p)
	return p.via, true
}

// OtherBalancer returns a random live balancer other than the caller's, or the caller's
// own when no other is known. It counts no send and changes no path.
func (t *Table) OtherBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	t.init()
	p, ok := t.paths.Peek(caller)
	if !ok {
		return netip.AddrPort{}, false
	}
	if others := t.others(now, p.via); len(others) > 0 {
		return others[t.Rand.IntN(len(others))], true
	}
	return p.via, true
}

// reroute moves the path to another live balancer. If none is known, the path
// stays, and the next attempt comes after DeadAfter again.
func (t *Table) reroute(now time.Time, p path) path {
	next := path{via: p.via, since: now, sends: 1}
	if others := t.others(now, p.via); len(others) > 0 {
		next.via = others[t.Rand.IntN(len(others))]
		t.changed++
	}
	return next
}

// others returns the balancers that delivered a packet of late, but for one.
func (t *Table) others(now time.Time, except netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range t.balancers.Keys() {
		last, _ := t.balancers.Peek(b)
		if b != except && now.Sub(last) < balancerIdle {
			out = append(out, b)
		}
	}
	return out
}

// Changes returns how often a path was changed.
func (t *Table) Changes() uint64 { return t.changed }

// Callers returns the number of callers that the table knows.
func (t *Table) Callers() int {
	t.init()
	return t.paths.Len()
}
