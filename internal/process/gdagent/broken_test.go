package gdagent_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
)

// TestBrokenAnswerDoesNotLookComplete: an upstream breaks an answer off in each form that
// states its length. A panic of a handler ends its request only.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	answers := map[string]string{
		"/length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "/chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"/last-chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "/header": "HTTP/1.1 200 OK\r\nContent-Le",
		"/chunk-size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nx\r\n", "/nothing": "",
	}
	p := startPath(t, 1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, broken := answers[r.URL.Path]
		if !broken {
			fmt.Fprint(w, "whole")
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}))
	c := p.caller(t)
	for path := range answers {
		res, err := c.Get("https://" + p.address + path)
		if err == nil {
			_, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusBadGateway {
				require.Equal(t, gdrequest.OutcomeUnknown, res.Header.Get(gdrequest.HeaderOutcome), path)
				continue
			}
		}
		require.Error(t, err, path)
	}
	res, body := p.post(t, c, "/", "")
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, "whole", body)
}

// TestRequestBodyThatEndsEarlyIsNotServed: a caller ends its stream after half of the body
// that it announced. The upstream must not take the half for a whole request.
func TestRequestBodyThatEndsEarlyIsNotServed(t *testing.T) {
	p := startPath(t, 1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil && strings.HasPrefix(string(body), "half") {
			t.Errorf("the upstream got %q as a whole body, length %d", body, r.ContentLength)
		}
	}))
	c := p.caller(t)
	p.post(t, c, "/", "")
	conn, err := quic.DialAddr(t.Context(), p.address, &tls.Config{
		RootCAs: p.pool, ServerName: "booking.test", NextProtos: []string{http3.NextProtoH3},
	}, &quic.Config{InitialPacketSize: 1280, DisablePathMTUDiscovery: true})
	require.NoError(t, err)
	defer func() { _ = conn.CloseWithError(0, "") }()
	h3 := (&http3.Transport{}).NewClientConn(conn)
	for _, path := range []string{"/", "/unlock"} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+p.address+path, http.NoBody)
		require.NoError(t, err)
		req.ContentLength = 100
		req.Header.Set("Idempotency-Key", "quote-7")
		stream, err := h3.OpenRequestStream(ctx)
		require.NoError(t, err)
		require.NoError(t, stream.SendRequestHeader(req))
		_, err = stream.Write([]byte("half"))
		require.NoError(t, err)
		require.NoError(t, stream.Close(), "the end of the stream without the rest")
		res, err := stream.ReadResponse()
		if err == nil {
			require.NotEqual(t, http.StatusOK, res.StatusCode, path)
		}
		cancel()
	}
}
