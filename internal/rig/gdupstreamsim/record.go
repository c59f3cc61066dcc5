package gdupstreamsim

import "sync"

// Record notes the starts of requests at all upstreams that share it. Its zero
// value is empty and ready for use.
type Record struct {
	mu       sync.Mutex
	requests map[string]int
	keys     map[string]int
	byName   map[string]int
}

// StartsOfKey returns how often a request with the Idempotency-Key was started.
func (r *Record) StartsOfKey(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// StartsOfRequest returns how often the request with the id was started.
func (r *Record) StartsOfRequest(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// StartsAt returns how many requests the named upstream has started.
func (r *Record) StartsAt(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[upstream]
}

// DuplicateKeys returns how many Idempotency-Keys were started more than once.
func (r *Record) DuplicateKeys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, starts := range r.keys {
		if starts > 1 {
			n++
		}
	}
	return n
}

func (r *Record) start(upstream, id, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = make(map[string]int)
		r.keys = make(map[string]int)
		r.byName = make(map[string]int)
	}
	r.byName[upstream]++
	if id != "" {
		r.requests[id]++
	}
	if key != "" {
		r.keys[key]++
	}
}
