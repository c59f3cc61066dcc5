package gdupstreamsim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and responses.
const (
	// HeaderRequestID carries the caller's request ID. The response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey marks a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService and HeaderUpstream name the service and upstream that responded.
	HeaderService  = "X-Service"
	HeaderUpstream = "X-Upstream"
	// HeaderTimeout is the remaining time for the response, in milliseconds.
	HeaderTimeout = "Godwitdrift-Timeout-Ms"
)

// maxBodyBytes bounds the body that an upstream echoes.
const maxBodyBytes = 1 << 20

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", u.serveHealth)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("GET /feed", u.serveFeed)
	mux.HandleFunc("/", u.serveWork)
	return mux
}

// serveWork runs one request for a service time and echoes its body. It aborts the
// connection if the request is cancelled or its deadline passes.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	d, ok := u.admit(time.Now())
	if !ok {
		u.refuse(w, r)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	u.recordStart(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	finished := err == nil && u.work(ctx, d)
	u.finish(!finished)
	if !finished {
		panic(http.ErrAbortHandler)
	}
	u.setHeaders(w, r)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// serveFeed streams numbered lines until the caller disconnects.
func (u *Upstream) serveFeed(w http.ResponseWriter, r *http.Request) {
	u.recordStart(r)
	u.addFeeds(1)
	defer u.addFeeds(-1)
	interval := u.FeedInterval
	if interval == 0 {
		interval = defaultFeedInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	u.setHeaders(w, r)
	w.Header().Set("Content-Type", "text/plain")
	rc := http.NewResponseController(w)
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "%s %d\n", u.Name, n); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-tick.C:
		}
	}
}

// work waits for the duration d and reports whether it passed before ctx ended. A
// silent upstream never finishes a request.
func (u *Upstream) work(ctx context.Context, d time.Duration) bool {
	if u.silent() {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// recordStart counts the start of the request in the Record.
func (u *Upstream) recordStart(r *http.Request) {
	u.Record.start(u.Name, r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey))
}

// setHeaders sets the response headers that name the upstream and the request.
func (u *Upstream) setHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderService, u.Service)
	w.Header().Set(HeaderUpstream, u.Name)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
}

// refuse responds to a request that is shed.
func (u *Upstream) refuse(w http.ResponseWriter, r *http.Request) {
	u.setHeaders(w, r)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shedding load", http.StatusServiceUnavailable)
}

// withDeadline returns the request's context, bounded by the timeout header if the
// request has one.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
