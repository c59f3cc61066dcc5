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
	copyBuffer    = 16 << 10
	upstreamConns = 64
	// upstreamIdleTime is shorter than the time after which common servers close an
	// idle connection: a request that meets that moment may end as unknown.
	upstreamIdleTime = 4 * time.Second
	dialTimeout      = time.Second
)

// proxy sends requests to the upstream.
type proxy struct {
	target    *url.URL
	transport *http.Transport
}

func newProxy(target *url.URL) *proxy {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &proxy{target: target, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: upstreamConns,
		IdleConnTimeout:     upstreamIdleTime,
		DisableCompression:  true,
	}}
}

// reply is what came of sending a request somewhere: a response, or how it
// failed.
type reply struct {
	response *http.Response
	outcome  gdadmit.Outcome
	err      error
}

// send sends the request to the upstream and waits for the response's header.
func (p *proxy) send(ctx context.Context, q *request, body io.ReadCloser) reply {
	return p.roundTrip(ctx, p.outgoing(ctx, q, body))
}

// sendWhole sends the request like send, with a body that is held in memory. When
// a kept connection turns out to be closed before anything was written to it, the
// transport takes another one.
func (p *proxy) sendWhole(ctx context.Context, q *request, body []byte) reply {
	again := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	first, _ := again()
	out := p.outgoing(ctx, q, first)
	out.GetBody = again
	return p.roundTrip(ctx, out)
}

// roundTrip sends a request that is ready for the upstream.
func (p *proxy) roundTrip(ctx context.Context, out *http.Request) reply {
	began := time.Now()
	var written atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	res, err := p.transport.RoundTrip(out.WithContext(traced))
	took := time.Since(began)
	if err != nil {
		return reply{outcome: failure(ctx, took, written.Load()), err: errors.Wrap(err, "send to the upstream")}
	}
	return reply{response: res, outcome: judge(res, took)}
}

// failure says how a request without a response ended. A request for which no
// connection was had has certainly not started.
func failure(ctx context.Context, took time.Duration, mayHaveStarted bool) gdadmit.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gdadmit.NewOutcome(gdadmit.OutcomeTimeout, took, mayHaveStarted)
	case ctx.Err() != nil:
		return gdadmit.NewOutcome(gdadmit.OutcomeCancelled, took, mayHaveStarted)
	}
	return gdadmit.NewOutcome(gdadmit.OutcomeFailed, took, mayHaveStarted)
}

// judge says what a response tells of the upstream.
func judge(res *http.Response, took time.Duration) gdadmit.Outcome {
	switch {
	case isShed(res):
		return gdadmit.NewOutcome(gdadmit.OutcomeShed, took, false)
	case res.StatusCode >= http.StatusInternalServerError:
		return gdadmit.NewOutcome(gdadmit.OutcomeFailed, took, true)
	}
	return gdadmit.NewOutcome(gdadmit.OutcomeOK, took, true)
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
	prepare(ctx, out.Header)
	for _, name := range []string{HeaderHops, HeaderService} {
		out.Header.Del(name)
	}
	return out
}

// prepare makes a header fit to be passed on.
func prepare(ctx context.Context, h http.Header) {
	removeHopHeaders(h)
	hideKey(h)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		h.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
}

// answer passes a response on. A body that breaks off aborts the caller's
// stream, so that it is not taken for a whole one.
func answer(w http.ResponseWriter, res *http.Response) {
	defer res.Body.Close()
	copyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if err := stream(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies the body and flushes after each read, so that a feed's lines
// reach the caller when the upstream writes them. Its memory is one buffer.
func stream(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
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
