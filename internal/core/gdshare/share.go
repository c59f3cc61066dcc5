// Package gdshare ranks callers by how much they have asked of an upstream lately.
//
// # Usage
//
//	var u gdshare.Usage
//	u.Note(now, caller, domain)
//	rank := u.Rank(now, caller, domain)
//
// Use is counted in requests and decays within seconds. Rank only matters where room is
// short: nothing is refused for it. A Usage is not safe for concurrent use.
package gdshare

import (
	"math"
	"time"
)

// Ranks. A lower one goes first.
const (
	// Within: the caller asks for no more than its share.
	Within uint8 = iota
	// Above: the caller, or the callers of its failure domain together, ask for more.
	Above

	// Ranks is the number of ranks.
	Ranks = 2
)

const (
	// halfLife is the half-life of the present use.
	halfLife = time.Second
	// window is the span over which the use of a domain is counted for its usual use, which is
	// the least of the latest windows. A burst that lasts longer than all of them is usual.
	window  = 4 * time.Second
	windows = 8
	// minUse is the use, in requests, below which nobody is above a share: the number varies
	// by chance.
	minUse = 8
	// burstFactor is the multiple of the mean use of the other callers, or of the usual use of
	// a domain, from which the use is above the share.
	burstFactor = 2
	// maxCallers and maxDomains limit what is counted separately.
	maxCallers = 512
	maxDomains = 64
)

// Caller is the IP address of a caller.
type Caller = [4]byte

// Usage has the use of one upstream. The zero value is ready to use.
type Usage struct {
	callers decaying[Caller]
	domains decaying[uint16]
	usual   usual
}

// Note counts a request of the caller. The domain is that of the caller, or 0 if it is unknown.
func (u *Usage) Note(now time.Time, c Caller, domain uint16) {
	u.callers.add(now, c, maxCallers)
	if domain == 0 {
		return
	}
	u.usual.add(now, domain)
	if !u.callerAbove(now, c) { // one greedy caller is no burst of its domain
		u.domains.add(now, domain, maxDomains)
	}
}

// Rank returns the rank of the caller's requests.
func (u *Usage) Rank(now time.Time, c Caller, domain uint16) uint8 {
	if u.callerAbove(now, c) || u.domainAbove(now, domain) {
		return Above
	}
	return Within
}

func (u *Usage) callerAbove(now time.Time, c Caller) bool {
	use := u.callers.get(now, c)
	return use >= minUse && use > burstFactor*u.callers.meanOfOthers(now, c)
}

// domainAbove reports whether the domain's callers ask for more than they used to.
func (u *Usage) domainAbove(now time.Time, domain uint16) bool {
	perSecond, known := u.usual.get(now, domain)
	use := u.domains.get(now, domain)
	// A steady rate gives a decaying count of the rate times the half-life over ln 2.
	return known && use >= minUse && use > burstFactor*perSecond*halfLife.Seconds()/math.Ln2
}

// usual has the use of domains by window.
type usual struct {
	began   time.Time // the start of the first window
	current int64     // the number of the present window, from 0
	counts  map[uint16]*[windows]int
}

// advance clears the windows that have begun since the last call.
func (u *usual) advance(now time.Time) {
	if u.counts == nil {
		u.counts, u.began = make(map[uint16]*[windows]int), now
	}
	w := int64(now.Sub(u.began) / window)
	for i := int64(0); i < windows && u.current+i < w; i++ {
		for k, c := range u.counts {
			c[(u.current+1+i)%windows] = 0
			if *c == [windows]int{} {
				delete(u.counts, k)
			}
		}
	}
	u.current = max(u.current, w)
}

func (u *usual) add(now time.Time, domain uint16) {
	u.advance(now)
	c := u.counts[domain]
	if c == nil {
		if len(u.counts) >= maxDomains {
			return
		}
		c = new([windows]int)
		u.counts[domain] = c
	}
	c[u.current%windows]++
}

// get returns the usual use of the domain per second, and false if no full window was observed.
func (u *usual) get(now time.Time, domain uint16) (float64, bool) {
	if u.counts == nil {
		return 0, false
	}
	u.advance(now)
	c := u.counts[domain]
	if c == nil {
		return 0, false
	}
	least, known := math.MaxInt, false
	for w := max(0, u.current-windows+1); w < u.current; w++ {
		least, known = min(least, c[w%windows]), true
	}
	return float64(least) / window.Seconds(), known
}

// decaying has counts that halve within a half-life. Counts are stored as they would have been
// at the landmark, so that they need no update as time passes.
type decaying[K comparable] struct {
	landmark time.Time
	counts   map[K]float64
	total    float64
}

const (
	// maxHalfLives is after how many half-lives the landmark moves, and minCount the count
	// below which a key is then forgotten.
	maxHalfLives = 4
	minCount     = 1.0 / 8
)

// weight returns what a count of 1 at now is at the landmark.
func (d *decaying[K]) weight(now time.Time) float64 {
	return math.Exp2(max(now.Sub(d.landmark).Seconds(), 0) / halfLife.Seconds())
}

func (d *decaying[K]) add(now time.Time, k K, maxKeys int) {
	if d.counts == nil {
		d.counts, d.landmark = make(map[K]float64), now
	}
	w := d.weight(now)
	if w > 1<<maxHalfLives {
		d.keep(func(n float64) (float64, bool) { return n / w, n/w >= minCount })
		d.landmark, w = now, 1
	}
	for least := w; len(d.counts) >= maxKeys && d.counts[k] == 0; least *= 2 {
		d.keep(func(n float64) (float64, bool) { return n, n > least })
	}
	d.counts[k] += w
	d.total += w
}

// keep replaces the counts by those that f returns and permits.
func (d *decaying[K]) keep(f func(float64) (float64, bool)) {
	d.total = 0
	for k, n := range d.counts {
		n, ok := f(n)
		if !ok {
			delete(d.counts, k)
			continue
		}
		d.counts[k] = n
		d.total += n
	}
}

func (d *decaying[K]) get(now time.Time, k K) float64 {
	if d.counts == nil {
		return 0
	}
	return d.counts[k] / d.weight(now)
}

// meanOfOthers returns the mean count of all keys but k, or infinity if there are none.
func (d *decaying[K]) meanOfOthers(now time.Time, k K) float64 {
	if len(d.counts) < 2 {
		return math.Inf(1)
	}
	return max(d.total-d.counts[k], 0) / float64(len(d.counts)-1) / d.weight(now)
}
