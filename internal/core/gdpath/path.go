// Package gdpath selects the balancer through which an agent sends packets to a caller.
//
// The agent sends through the balancer that delivered the caller's last packet. If
// several packets to a caller remain unanswered, the path is considered broken and the
// agent sends through another known balancer.
//
// # Usage
//
//	t := gdpath.Table{MaxCallers: 8000, Rand: r}
//	t.Received(now, caller, balancer)
//	via, ok := t.PickBalancer(now, caller)
package gdpath

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// PathTimeout is the time without an answer after which a path is changed.
	PathTimeout = 250 * time.Millisecond
	// toleratedSends is the number of unanswered sends up to which a path is kept
	// regardless of the time, so that one lost packet on an idle flow does not change
	// the path.
	toleratedSends = 3
	// maxBalancers is the maximum number of balancers in a table.
	maxBalancers = 64
	// balancerIdleTimeout is the time after its last packet at which a balancer is no
	// longer selected.
	balancerIdleTimeout = time.Minute
)

// Table stores the path to each caller. The exported fields must be set before the
// first call. It may be used by one goroutine at a time only.
type Table struct {
	// MaxCallers is the maximum number of callers; the least recently used one is
	// evicted.
	MaxCallers int
	// Rand is the random source for selecting a balancer.
	Rand *rand.Rand

	paths     *simplelru.LRU[netip.AddrPort, path]
	balancers *simplelru.LRU[netip.AddrPort, time.Time]
	changes   uint64
}

// path is a balancer through which a caller is reached, with its unanswered sends.
type path struct {
	via netip.AddrPort
	// unansweredSince is the time of the first unanswered send.
	unansweredSince time.Time
	// unanswered counts the unanswered sends.
	unanswered int
}

func (t *Table) init() {
	if t.paths != nil {
		return
	}
	// NewLRU returns an error only for a size below 1.
	t.paths, _ = simplelru.NewLRU[netip.AddrPort, path](max(t.MaxCallers, 1), nil)
	t.balancers, _ = simplelru.NewLRU[netip.AddrPort, time.Time](maxBalancers, nil)
}

// Received records that a balancer delivered a packet of the caller.
func (t *Table) Received(now time.Time, caller, balancer netip.AddrPort) {
	t.init()
	t.balancers.Add(balancer, now)
	t.paths.Add(caller, path{via: balancer})
}

// PickBalancer returns the balancer through which to send a packet to the caller, and
// counts the send. It returns false for a caller that is not in the table.
func (t *Table) PickBalancer(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	t.init()
	p, ok := t.paths.Get(caller)
	if !ok {
		return netip.AddrPort{}, false
	}
	if p.unanswered == 0 {
		p.unansweredSince = now
	}
	p.unanswered++
	if p.unanswered > toleratedSends && now.Sub(p.unansweredSince) >= PathTimeout {
		p = t.reroute(now, p)
	}
	t.paths.Add(caller, p)
	return p.via, true
}

// OtherBalancer returns a random recently used balancer other than the caller's current
// one, or the current one if there is no other. It neither counts a send nor changes a
// path.
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

// reroute moves the path to another recently used balancer. If there is none, it keeps
// the path, and the next attempt follows after PathTimeout.
func (t *Table) reroute(now time.Time, p path) path {
	next := path{via: p.via, unansweredSince: now, unanswered: 1}
	if others := t.others(now, p.via); len(others) > 0 {
		next.via = others[t.Rand.IntN(len(others))]
		t.changes++
	}
	return next
}

// others returns the recently used balancers except the given one.
func (t *Table) others(now time.Time, except netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, b := range t.balancers.Keys() {
		last, _ := t.balancers.Peek(b)
		if b != except && now.Sub(last) < balancerIdleTimeout {
			out = append(out, b)
		}
	}
	return out
}

// Changes returns the number of path changes.
func (t *Table) Changes() uint64 { return t.changes }

// Callers returns the number of callers in the table.
func (t *Table) Callers() int {
	t.init()
	return t.paths.Len()
}
