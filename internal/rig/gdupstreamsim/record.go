package gdupstreamsim

import "sync"

// Record counts the starts of requests at all upstreams that share it. The zero value
// is ready for use.
type Record struct {
	mu         sync.Mutex
	byRequest  map[string]int
	byKey      map[string]int
	byUpstream map[string]int
}

// StartsOfKey returns how often requests with the Idempotency-Key were started.
func (r *Record) StartsOfKey(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// StartsOfRequest returns how often the request with the given ID was started.
func (r *Record) StartsOfRequest(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[id]
}

// StartsAt returns how many requests the named upstream has started.
func (r *Record) StartsAt(upstream string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byUpstream[upstream]
}

// DuplicateKeys returns how many Idempotency-Keys were started more than once.
func (r *Record) DuplicateKeys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, starts := range r.byKey {
		if starts > 1 {
			n++
		}
	}
	return n
}

// start counts the start of a request. The ID and the key may be empty.
func (r *Record) start(upstream, id, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = make(map[string]int)
		r.byKey = make(map[string]int)
		r.byUpstream = make(map[string]int)
	}
	r.byUpstream[upstream]++
	if id != "" {
		r.byRequest[id]++
	}
	if key != "" {
		r.byKey[key]++
	}
}
