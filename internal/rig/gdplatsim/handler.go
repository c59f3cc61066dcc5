package gdplatsim

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxWait is the maximum duration of a watch.
	maxWait = 60 * time.Second
	// pollInterval is the interval at which a watch checks for a value whose lag has
	// passed.
	pollInterval = 20 * time.Millisecond
)

// garbage is the malformed value that replaces each value while SetGarbage is on.
var garbage = []byte("\x00\xffname = [[[ not-a-configuration")

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.serveValue)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return mux
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	n, f := p.countRead()
	if !applyFaults(r.Context(), f) {
		panic(http.ErrAbortHandler)
	}
	if f.garbage {
		w.Header().Set("ETag", strconv.Quote("garbage-"+strconv.FormatUint(n, 10)))
		_, _ = w.Write(garbage)
		return
	}
	stale := f.stale && n%2 == 0
	rev, ok := p.await(r, stale)
	switch {
	case !ok:
		http.NotFound(w, r)
	case rev.etag == r.URL.Query().Get("after"):
		w.Header().Set("ETag", rev.etag)
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", rev.etag)
		_, _ = w.Write(rev.data)
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	_, f := p.countRead()
	if !applyFaults(r.Context(), f) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	body := struct {
		Hosts []Host `json:"hosts"`
	}{p.visibleHosts(time.Now())}
	_ = json.NewEncoder(w).Encode(body)
}

// applyFaults applies the outage and the delay to a read, and reports whether the
// read gets an answer.
func applyFaults(ctx context.Context, f faults) bool {
	if f.down {
		return false
	}
	if f.delay == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(f.delay):
		return true
	}
}

// await returns the revision of the value: at once for a plain read; on a change or
// after the wait time for a watch.
func (p *Platform) await(r *http.Request, stale bool) (revision, bool) {
	q := r.URL.Query()
	after := q.Get("after")
	deadline := time.Now().Add(waitTime(q.Get("wait")))
	for {
		now := time.Now()
		rev, ok, changed := p.visibleRevision(r.PathValue("key"), stale, now)
		if !ok || rev.etag != after || !now.Before(deadline) {
			return rev, ok
		}
		select {
		case <-r.Context().Done():
			return rev, ok
		case <-changed:
		case <-time.After(min(pollInterval, deadline.Sub(now))):
		}
	}
}

// waitTime parses a wait time in seconds, limited to maxWait. It returns 0 if s is
// malformed or negative.
func waitTime(s string) time.Duration {
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), maxWait)
}
