package gdrequest_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSecondAnswerIsNotTheNextOne: an upstream answers each request twice on its connection.
// The next request, which follows at once, gets its own answer.
func TestSecondAnswerIsNotTheNextOne(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			go answerTwice(c)
		}
	}()
	target, err := url.Parse("http://" + l.Addr().String())
	require.NoError(t, err)
	s, _ := startAt(t, deployment(), target)
	awaitIssuedKey(t, s)
	for i := range 100 {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/photographs/"+strconv.Itoa(i), http.NoBody))
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "/photographs/"+strconv.Itoa(i), w.Body.String())
	}
}

func answerTwice(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return // closed
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		fmt.Fprint(c, answer+answer)
	}
}
