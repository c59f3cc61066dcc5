package gdspread

import "time"

const (
	// tokenCost is the cost of one relay or retry. A started request earns one
	// unit, so that relays and retries stay within a tenth of the started work.
	tokenCost = 10
	// floorInterval is the time in which the floor earns one unit: one relay or
	// retry a second, whatever the work.
	floorInterval = time.Second / tokenCost
	// budgetDepth bounds the units that are saved up, here for 10 relays, so
	// that a long quiet time does not pay for a burst.
	budgetDepth = 10 * tokenCost
)

// Budget is a token bucket for relays and retries. Between two moments it lets
// through at most a tenth of the work started in between, one for each second
// in between, and the 10 that may be saved up. Its zero value is empty.
type Budget struct {
	units  int
	filled time.Time
}

// Earn counts one started request.
func (b *Budget) Earn(now time.Time) {
	b.fill(now)
	b.add(1)
}

// Spend takes the cost of one relay or retry and reports whether it was there.
func (b *Budget) Spend(now time.Time) bool {
	b.fill(now)
	if b.units < tokenCost {
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
