package gdselector

import "time"

const (
	// tokenCost is the cost of one relay or retry in units. A started request earns
	// one unit, so that relays and retries stay within a tenth of the started
	// requests.
	tokenCost = 10
	// floorInterval is the time in which one unit is earned regardless of started
	// requests. It allows one relay or retry every ten seconds.
	floorInterval = 10 * time.Second / tokenCost
	// budgetDepth is the maximum number of accumulated units, enough for 10 relays.
	// It prevents a burst of relays after a long idle time.
	budgetDepth = 10 * tokenCost
	// maxReserve limits the relays that are reserved for more urgent requests.
	maxReserve = 5
)

// Budget is a token bucket for relays and retries. In any period it allows at most a
// tenth of the requests started in that period, one for every ten seconds of it, and
// the 10 that may have accumulated before. The zero value is empty.
type Budget struct {
	units    int
	lastFill time.Time
	// remainder counts requests whose share is not yet a whole unit.
	remainder uint64
}

// Earn adds this agent's share of the earnings from n started requests, which are divided
// equally among the agents.
func (b *Budget) Earn(now time.Time, n uint64, agents int) {
	b.fill(now)
	b.remainder += n
	// The budget cannot exceed its depth, even if a peer's counter jumps.
	b.add(int(min(b.remainder/uint64(agents), budgetDepth)))
	b.remainder %= uint64(agents)
}

// Spend deducts the cost of one relay or retry and reports whether the budget was
// sufficient. Each priority level below the most urgent one must leave the cost of one
// more relay in the budget, so that a short budget remains for urgent requests.
func (b *Budget) Spend(now time.Time, priority int) bool {
	b.fill(now)
	reserve := min(max(priority-1, 0), maxReserve) * tokenCost
	if b.units < tokenCost+reserve {
		return false
	}
	b.units -= tokenCost
	return true
}

// fill adds the units of the floor since the last call. If the clock steps back, it
// adds nothing.
func (b *Budget) fill(now time.Time) {
	if b.lastFill.IsZero() {
		b.lastFill = now
		return
	}
	n := int(now.Sub(b.lastFill) / floorInterval)
	if n <= 0 {
		return
	}
	b.lastFill = b.lastFill.Add(time.Duration(n) * floorInterval)
	b.add(n)
}

func (b *Budget) add(n int) { b.units = min(b.units+n, budgetDepth) }
