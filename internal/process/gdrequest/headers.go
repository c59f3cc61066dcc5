package gdrequest

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of the protocol with callers, upstreams and peers.
const (
	// HeaderTimeout carries, in milliseconds, how long the caller waits. It is
	// passed on to the upstream with what remains.
	HeaderTimeout = "Godwitdrift-Timeout-Ms"
	// HeaderOutcome says what became of a request that got no answer from the
	// upstream: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Godwitdrift-Outcome"
	// HeaderReason says why, for a person and for reports.
	HeaderReason = "Godwitdrift-Reason"
	// HeaderKey offers a key of the system's own for a request that needs one.
	HeaderKey = "Godwitdrift-Key"
	// HeaderRequest names the request, for the explain command.
	HeaderRequest = "Godwitdrift-Request"
	// HeaderHops is set between agents: how often the request was relayed.
	HeaderHops = "Godwitdrift-Hops"
	// HeaderService is set between agents: the identifier of the service.
	HeaderService = "Godwitdrift-Service"

	// OutcomeNotRun says that the request certainly did not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown = "unknown"

	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
	headerAccept     = "Accept"
	typeEventStream  = "text/event-stream"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// hideKey writes the Idempotency-Key under a name that net/http does not look
// for. With the canonical name, http.Transport takes the request for one that it
// may send again by itself after a broken connection, and it could run twice.
// The name on the wire means the same to the receiver.
func hideKey(h http.Header) {
	if values, ok := h[headerKey]; ok {
		delete(h, headerKey)
		h[strings.ToLower(headerKey)] = values
	}
}

func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	from.Del(HeaderRequest) // a peer that served the request names it its own way
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// refusal is the answer to a request that got none from the upstream.
type refusal struct {
	status     int
	outcome    string
	reason     string
	retryAfter time.Duration
	offer      string
}

func (f refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, f.outcome)
	h.Set(HeaderReason, f.reason)
	if f.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.offer != "" {
		h.Set(HeaderKey, f.offer)
	}
	w.WriteHeader(f.status)
}

// notRun refuses a request that certainly did not run.
func notRun(reason string, retryAfter time.Duration) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason, retryAfter: retryAfter,
	}
}

// unknown answers a request that may have run.
func unknown(reason string) refusal {
	return refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// undecided answers a request with a key that the ledger has not seen. This
// attempt did not run, but an earlier one may have, and the key is not closed:
// the caller is to come back with the same key.
func undecided(reason string) refusal {
	f := unknown(reason)
	f.retryAfter = notReadyRetry
	return f
}
