package gdrequest

import (
	"context"
	"fmt"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// request is a caller's request while the server handles it.
type request struct {
	*http.Request
	id         uint64
	name       string
	service    *gdconf.Service
	priority   int
	atMostOnce bool
	stream     bool
	hops       int
	deadline   time.Time
	// leaving means that the upstream got no new work when the request arrived.
	leaving bool
}

// newRequest extracts from r what the cores need for their decisions.
func (s *Server) newRequest(r *http.Request, svc *gdconf.Service, now time.Time) *request {
	q := &request{
		Request:  r,
		id:       s.lastID.Add(1),
		service:  svc,
		priority: svc.Priority(),
		stream:   strings.Contains(r.Header.Get(headerAccept), typeEventStream),
		hops:     hopsOf(r),
		deadline: deadlineOf(r, now),
	}
	q.name = fmt.Sprintf("%d-%08x-%d", s.Self, s.Incarnation, q.id)
	if route, ok := routeOf(svc, r.URL.Path); ok {
		q.priority = route.Priority
		q.atMostOnce = route.AtMostOnce
		q.stream = q.stream || route.Stream
	}
	return q
}

// routeOf returns the route with the longest prefix of the path. It matches the
// cleaned path as well, because the upstream may clean the path itself.
func routeOf(svc *gdconf.Service, p string) (config.Route, bool) {
	clean := path.Clean("/" + p)
	var best config.Route
	for _, r := range svc.Routes() {
		matches := strings.HasPrefix(p, r.PathPrefix) || strings.HasPrefix(clean, r.PathPrefix)
		if matches && len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best, best.PathPrefix != ""
}

func hopsOf(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(HeaderHops))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func deadlineOf(r *http.Request, now time.Time) time.Time {
	ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// safe reports whether the method is safe (RFC 9110, section 9.2.1), so that the
// request may run more than once.
func (q *request) safe() bool {
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// keyed reports whether the request must run at most once.
func (q *request) keyed() bool {
	return !q.safe() && (q.atMostOnce || q.Header.Get(headerKey) != "")
}

// admission returns the request as passed to the admission controller.
func (q *request) admission() gdadmit.Request {
	opts := []gdadmit.Option{gdadmit.Relayed(q.hops)}
	if q.hops == 0 {
		// Requests from callers arrive on flows that this agent holds.
		opts = append(opts, gdadmit.Established())
	}
	if q.safe() {
		opts = append(opts, gdadmit.Idempotent())
	}
	if q.stream {
		opts = append(opts, gdadmit.Stream())
	}
	return gdadmit.NewRequest(q.id, q.priority, q.deadline, opts...)
}

// withDeadline returns a context with the request's deadline, if it has one.
func (q *request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, q.deadline)
}
