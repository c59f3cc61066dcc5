package gdroute

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// flowTable remembers the flows without token that an agent holds. Invariant: an
// established flow is forgotten only when it is idle or ended, never for a new
// one. Anybody can send opening packets, so a flow is established by its first
// packet that is none.
type flowTable struct {
	opened      *simplelru.LRU[FlowKey, time.Time]
	established *simplelru.LRU[FlowKey, time.Time]
	size        int
	idle        time.Duration
}

func newFlowTable(size int, idle time.Duration) *flowTable {
	t := &flowTable{size: max(size, 1), idle: idle}
	// NewLRU fails only for a size below one.
	t.opened, _ = simplelru.NewLRU[FlowKey, time.Time](t.size, nil)
	t.established, _ = simplelru.NewLRU[FlowKey, time.Time](t.size, nil)
	return t
}

// holds reports whether the flow is held, and notes its packet.
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

// full reports whether no further flow can be established. It forgets the idle
// flow that would otherwise take the room.
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

// open holds a new flow.
func (t *flowTable) open(now time.Time, key FlowKey) { t.opened.Add(key, now) }

// end forgets a flow.
func (t *flowTable) end(key FlowKey) {
	t.opened.Remove(key)
	t.established.Remove(key)
}
