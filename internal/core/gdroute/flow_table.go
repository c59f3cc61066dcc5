package gdroute

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// flowTable records the flows without token that an agent holds. Invariant: an
// established flow is removed only when it is idle or ended, never to make room for
// a new one. Any host can send opening packets, so a flow becomes established only
// with its first packet that is not an opening packet.
type flowTable struct {
	opened      *simplelru.LRU[FlowKey, time.Time]
	established *simplelru.LRU[FlowKey, time.Time]
	size        int
	idle        time.Duration
}

func newFlowTable(size int, idle time.Duration) *flowTable {
	t := &flowTable{size: max(size, 1), idle: idle}
	// NewLRU returns an error only for a size below 1.
	t.opened, _ = simplelru.NewLRU[FlowKey, time.Time](t.size, nil)
	t.established, _ = simplelru.NewLRU[FlowKey, time.Time](t.size, nil)
	return t
}

// holds reports whether the table contains the flow, and refreshes its idle time.
func (t *flowTable) holds(now time.Time, key FlowKey, opening bool) bool {
	if t.touch(now, t.established, key) {
		return true
	}
	if !t.touch(now, t.opened, key) {
		return false
	}
	if !opening && !t.full(now) {
		t.opened.Remove(key)
		t.established.Add(key, now)
	}
	return true
}

func (t *flowTable) touch(now time.Time, flows *simplelru.LRU[FlowKey, time.Time], key FlowKey) bool {
	last, ok := flows.Get(key)
	if !ok {
		return false
	}
	if now.Sub(last) > t.idle {
		flows.Remove(key)
		return false
	}
	flows.Add(key, now)
	return true
}

// full reports whether no more flows can be established. It removes the oldest flow
// if that flow is idle.
func (t *flowTable) full(now time.Time) bool {
	if t.established.Len() < t.size {
		return false
	}
	_, last, _ := t.established.GetOldest()
	if now.Sub(last) <= t.idle {
		return true
	}
	t.established.RemoveOldest()
	return false
}

// open adds a new flow.
func (t *flowTable) open(now time.Time, key FlowKey) { t.opened.Add(key, now) }

// remove removes a flow.
func (t *flowTable) remove(key FlowKey) {
	t.opened.Remove(key)
	t.established.Remove(key)
}
