package gdrequest

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
)

const (
	copyBufferSize       = 16 << 10
	maxIdleUpstreamConns = 64
	// upstreamIdleTimeout is shorter than the idle timeout of common servers. The
	// outcome of a request sent while the server closes its connection may be unknown.
	upstreamIdleTimeout = 4 * time.Second
	dialTimeout         = time.Second
)

// proxy sends requests to the upstream.
type proxy struct {
	target    *url.URL
	transport *http.Transport
}

func newProxy(target *url.URL) *proxy {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &proxy{target: target, transport: &http.Transport{
		DialContext:         watchConns(dialer.DialContext),
		MaxIdleConnsPerHost: maxIdleUpstreamConns,
		IdleConnTimeout:     upstreamIdleTimeout,
		DisableCompression:  true,
	}}
}

// reply is the result of sending a request: a response or an error.
type reply struct {
	response *http.Response
	outcome  gdadmit.Outcome
	err      error
}

// send sends the request to the upstream and waits for the response header.
func (p *proxy) send(ctx context.Context, q *request, body io.ReadCloser) reply {
	return p.roundTrip(ctx, p.outgoing(ctx, q, body))
}

// sendBuffered is like send, with a body that is in memory. If an idle connection
// turns out to be closed before anything was written to it, the transport retries
// on another one.
func (p *proxy) sendBuffered(ctx context.Context, q *request, body []byte) reply {
	getBody := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	first, _ := getBody()
	out := p.outgoing(ctx, q, first)
	out.GetBody = getBody
	return p.roundTrip(ctx, out)
}

// roundTrip sends a prepared request to the upstream.
func (p *proxy) roundTrip(ctx context.Context, out *http.Request) reply {
	start := time.Now()
	var written atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			checkReused(info)
			written.Store(true)
		},
	})
	res, err := p.transport.RoundTrip(out.WithContext(traced))
	elapsed := time.Since(start)
	if err != nil {
		return reply{outcome: errorOutcome(ctx, elapsed, written.Load()), err: errors.Wrap(err, "send to the upstream")}
	}
	return reply{response: res, outcome: responseOutcome(res, elapsed)}
}

// errorOutcome returns the outcome of a request without a response. A request that
// got no connection has not started.
func errorOutcome(ctx context.Context, elapsed time.Duration, mayHaveStarted bool) gdadmit.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gdadmit.NewOutcome(gdadmit.OutcomeTimeout, elapsed, mayHaveStarted)
	case ctx.Err() != nil:
		return gdadmit.NewOutcome(gdadmit.OutcomeCancelled, elapsed, mayHaveStarted)
	}
	return gdadmit.NewOutcome(gdadmit.OutcomeFailed, elapsed, mayHaveStarted)
}

// responseOutcome returns the outcome that a response stands for.
func responseOutcome(res *http.Response, elapsed time.Duration) gdadmit.Outcome {
	switch {
	case isShed(res):
		return gdadmit.NewOutcome(gdadmit.OutcomeShed, elapsed, false)
	case res.StatusCode >= http.StatusInternalServerError:
		return gdadmit.NewOutcome(gdadmit.OutcomeFailed, elapsed, true)
	}
	return gdadmit.NewOutcome(gdadmit.OutcomeOK, elapsed, true)
}

// isShed reports whether the upstream refused the request without running it.
func isShed(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(headerRetryAfter) != ""
}

func (p *proxy) outgoing(ctx context.Context, q *request, body io.ReadCloser) *http.Request {
	out := q.Clone(ctx)
	out.URL.Scheme = p.target.Scheme
	out.URL.Host = p.target.Host
	out.RequestURI = ""
	out.Proto, out.ProtoMajor, out.ProtoMinor = "HTTP/1.1", 1, 1
	out.Body = body
	if q.ContentLength == 0 {
		out.Body = http.NoBody
	}
	prepareHeader(ctx, out.Header)
	for _, name := range []string{HeaderHops, HeaderService} {
		out.Header.Del(name)
	}
	return out
}

// prepareHeader prepares the header of a request for forwarding.
func prepareHeader(ctx context.Context, h http.Header) {
	removeHopHeaders(h)
	lowercaseKey(h)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		h.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
}

// forwardResponse forwards a response to the caller. If the body is incomplete, it
// aborts the caller's stream, so that the caller does not take the body as complete.
func forwardResponse(w http.ResponseWriter, res *http.Response) {
	defer res.Body.Close()
	copyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if err := copyFlushing(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyFlushing copies the body and flushes after each read, so that the caller gets
// the lines of a stream as soon as the upstream writes them. It uses one buffer.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	if err := rc.Flush(); err != nil {
		return err
	}
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
