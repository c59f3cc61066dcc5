package gdrequest

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers exchanged with callers, upstreams and peers.
const (
	// HeaderTimeout is the caller's timeout in milliseconds. The upstream gets the
	// remaining time.
	HeaderTimeout = "Godwitdrift-Timeout-Ms"
	// HeaderOutcome is the outcome of a request without a response from the
	// upstream: OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Godwitdrift-Outcome"
	// HeaderReason is the reason for the outcome, for operators and reports.
	HeaderReason = "Godwitdrift-Reason"
	// HeaderKey is an issued idempotency key for the next attempt of a request that
	// needs one.
	HeaderKey = "Godwitdrift-Key"
	// HeaderRequest identifies the request in the explain command.
	HeaderRequest = "Godwitdrift-Request"
	// HeaderHops is the number of times that agents have relayed the request. It is
	// used between agents only.
	HeaderHops = "Godwitdrift-Hops"
	// HeaderService is the ID of the service. It is used between agents only.
	HeaderService = "Godwitdrift-Service"

	// OutcomeNotRun means that the request did not run.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"

	headerKey        = "Idempotency-Key"
	headerRetryAfter = "Retry-After"
	headerAccept     = "Accept"
	typeEventStream  = "text/event-stream"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// lowercaseKey moves the Idempotency-Key to its lower-case name. With the canonical
// name, http.Transport may resend the request after a broken connection, so that it
// could run twice. Header names are case-insensitive for the receiver.
func lowercaseKey(h http.Header) {
	if values, ok := h[headerKey]; ok {
		delete(h, headerKey)
		h[strings.ToLower(headerKey)] = values
	}
}

func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	from.Del(HeaderRequest) // a peer that served the request has set its own ID
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// refusal is the response to a request that got none from the upstream.
type refusal struct {
	status       int
	outcome      string
	reason       string
	retryAfter   time.Duration
	suggestedKey string
}

func (f refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, f.outcome)
	h.Set(HeaderReason, f.reason)
	if f.retryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.suggestedKey != "" {
		h.Set(HeaderKey, f.suggestedKey)
	}
	w.WriteHeader(f.status)
}

// notRun returns the refusal of a request that did not run.
func notRun(reason string, retryAfter time.Duration) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: reason, retryAfter: retryAfter,
	}
}

// unknown returns the response to a request that may have run.
func unknown(reason string) refusal {
	return refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: reason}
}

// keyUndecided returns the response to a request with a key that the deduplication
// core has not received. This attempt did not run, but an earlier one may have, and the
// key is not closed, so the caller should retry with the same key.
func keyUndecided(reason string) refusal {
	f := unknown(reason)
	f.retryAfter = notReadyRetry
	return f
}
