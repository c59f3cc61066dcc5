package gdselector

import "time"

const (
	// tokenCost is the cost of one relay or retry. A started request earns one
	// unit, so that relays and retries stay within a tenth of the started work.
	tokenCost = 10
	// floorInterval is the time in which the floor earns one unit: one relay or
	// retry in ten seconds, whatever the work.
	floorInterval = 10 * time.Second / tokenCost
	// budgetDepth bounds the units that are saved up, here for 10 relays, so
	// that a long quiet time does not pay for a burst.
	budgetDepth = 10 * tokenCost
	// maxReserve bounds the relays that are kept back from less urgent requests.
	maxReserve = 5
)

// Budget is a token bucket for relays and retries. Between two moments it lets
// through at most a tenth of the work started in between, one for each ten
// seconds in between, and the 10 that may be saved up. Its zero value is empty.
type Budget struct {
	units  int
	filled time.Time
	// rest counts requests whose share is not yet a whole unit.
	rest uint64
}

// Earn counts n requests started by any of the agents that share the earnings.
func (b *Budget) Earn(now time.Time, n uint64, agents int) {
	b.fill(now)
	b.rest += n
	// More than the depth is lost, and a counter that jumped earns no more.
	b.add(int(min(b.rest/uint64(agents), budgetDepth)))
	b.rest %= uint64(agents)
}

// Spend takes the cost of one relay or retry and reports whether it was there.
// Each step of priority below the most urgent one leaves the cost of one more
// untouched, so that urgent requests find a budget when it is short.
func (b *Budget) Spend(now time.Time, priority int) bool {
	b.fill(now)
	reserve := min(max(priority-1, 0), maxReserve) * tokenCost
	if b.units < tokenCost+reserve {
		return false
	}
	b.units -= tokenCost
	return true
}

// fill adds what the floor has earned since the last call. A clock that steps
// back earns nothing.
func (b *Budget) fill(now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
		return
	}
	n := int(now.Sub(b.filled) / floorInterval)
	if n <= 0 {
		return
	}
	b.filled = b.filled.Add(time.Duration(n) * floorInterval)
	b.add(n)
}

func (b *Budget) add(n int) { b.units = min(b.units+n, budgetDepth) }
