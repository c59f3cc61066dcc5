package gdupstreamsim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and answers.
const (
	// HeaderRequestID carries the caller's request id and is given back.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey marks a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderService and HeaderUpstream name who answered.
	HeaderService  = "X-Service"
	HeaderUpstream = "X-Upstream"
	// HeaderTimeout is the time left to answer, in milliseconds.
	HeaderTimeout = "Godwitdrift-Timeout-Ms"
)

// maxBody bounds the body that an upstream echoes.
const maxBody = 1 << 20

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", u.serveHealth)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("GET /feed", u.serveFeed)
	mux.HandleFunc("/", u.serveWork)
	return mux
}

// serveWork runs one request for a service time and echoes its body.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	d, ok := u.admit(time.Now())
	if !ok {
		u.refuse(w, r)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	u.note(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	finished := err == nil && u.work(ctx, d)
	u.done(!finished)
	if !finished {
		panic(http.ErrAbortHandler)
	}
	u.head(w, r)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// serveFeed streams numbered lines until the caller goes away.
func (u *Upstream) serveFeed(w http.ResponseWriter, r *http.Request) {
	u.note(r)
	u.feeds(1)
	defer u.feeds(-1)
	interval := u.FeedInterval
	if interval == 0 {
		interval = defaultFeedInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	u.head(w, r)
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

// work waits for the service time and reports whether the request finished.
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

func (u *Upstream) note(r *http.Request) {
	u.Record.start(u.Name, r.Header.Get(HeaderRequestID), r.Header.Get(HeaderIdempotencyKey))
}

func (u *Upstream) head(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderService, u.Service)
	w.Header().Set(HeaderUpstream, u.Name)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
}

func (u *Upstream) refuse(w http.ResponseWriter, r *http.Request) {
	u.head(w, r)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shedding load", http.StatusServiceUnavailable)
}

// withDeadline bounds the run by the deadline header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
