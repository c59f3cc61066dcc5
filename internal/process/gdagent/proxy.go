package gdagent

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderTimeout carries, in milliseconds, how long the caller waits. It is
	// passed on to the upstream with what remains.
	HeaderTimeout = "Godwitdrift-Timeout-Ms"
	// HeaderOutcome says what became of a request that got no answer from the
	// upstream: "not-run" or "unknown".
	HeaderOutcome = "Godwitdrift-Outcome"

	headerKey = "Idempotency-Key"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	copyBuffer       = 16 << 10
	upstreamConns    = 64
	upstreamIdleTime = 30 * time.Second
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// proxy sends requests to the upstream and streams the answers back.
type proxy struct {
	target    *url.URL
	transport *http.Transport
}

func newProxy(target *url.URL) *proxy {
	return &proxy{target: target, transport: &http.Transport{
		MaxIdleConnsPerHost: upstreamConns,
		IdleConnTimeout:     upstreamIdleTime,
		DisableCompression:  true,
	}}
}

// serve handles one request of a caller.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	a.inProgress.Add(1)
	defer a.inProgress.Add(-1)
	ctx, cancel := withTimeout(r)
	defer cancel()
	a.proxy.forward(ctx, w, r)
}

// withTimeout bounds the request by the time that the caller waits.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (p *proxy) forward(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	res, err := p.transport.RoundTrip(p.outgoing(ctx, r))
	if err != nil {
		// The upstream may have begun: nothing certain can be said.
		refuse(w, http.StatusBadGateway, outcomeUnknown)
		return
	}
	defer res.Body.Close()
	copyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if err := stream(w, res.Body); err != nil {
		// The answer is cut: the caller must not take it for a whole one.
		panic(http.ErrAbortHandler)
	}
}

func (p *proxy) outgoing(ctx context.Context, r *http.Request) *http.Request {
	out := r.Clone(ctx)
	out.URL.Scheme = p.target.Scheme
	out.URL.Host = p.target.Host
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	removeHopHeaders(out.Header)
	hideKey(out.Header)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		out.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

// hideKey writes the Idempotency-Key under a name that net/http does not look
// for. With the canonical name, http.Transport takes the request for one that it
// may send again by itself after a broken connection, and it could run twice.
// The name on the wire means the same to the upstream.
func hideKey(h http.Header) {
	if values, ok := h[headerKey]; ok {
		delete(h, headerKey)
		h[strings.ToLower(headerKey)] = values
	}
}

// refuse answers a request that the upstream did not answer.
func refuse(w http.ResponseWriter, status int, outcome string) {
	w.Header().Set(HeaderOutcome, outcome)
	w.WriteHeader(status)
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}

// stream copies the body and flushes after each read, so that a feed's lines
// reach the caller when the upstream writes them. Its memory is one buffer.
func stream(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
