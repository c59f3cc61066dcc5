package gdhostrig

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The outcomes in an answer.
const (
	answerDone   = "done"
	answerNotRun = "not-run"
)

// requestHead is the first line of a request.
type requestHead struct {
	id, class               string
	requestSize, answerSize int
}

// appendRequest appends a request: its first line and a body of the size given there.
func appendRequest(b []byte, h requestHead) []byte {
	b = fmt.Appendf(b, "%s %s %d %d\n", h.id, h.class, h.requestSize, h.answerSize)
	return append(b, bytes.Repeat([]byte{'.'}, h.requestSize)...)
}

// appendAnswer appends an answer: its first line and the body for the request, which is
// empty unless the outcome is answerDone.
func appendAnswer(b []byte, h requestHead, outcome string) []byte {
	size := h.answerSize
	if outcome != answerDone {
		size = 0
	}
	b = fmt.Appendf(b, "%s %s %d\n", h.id, outcome, size)
	return append(b, answerBody(h.id, size)...)
}

// answerBody returns the body of the only correct answer to a request.
func answerBody(id string, n int) []byte {
	word := fmt.Sprintf("%016x", xxhash.Sum64String(id))
	return []byte(strings.Repeat(word, n/len(word)+1)[:n])
}

// requestParser splits a stream into requests.
type requestParser struct{ buf []byte }

// parse adds data to the stream and returns the requests that it completes.
func (p *requestParser) parse(data []byte) []requestHead {
	p.buf = append(p.buf, data...)
	var all []requestHead
	for {
		line, rest, ok := bytes.Cut(p.buf, []byte{'\n'})
		var h requestHead
		if !ok {
			return all
		}
		if n, err := fmt.Sscanf(string(line), "%s %s %d %d", &h.id, &h.class, &h.requestSize, &h.answerSize); err != nil || n < 4 || h.requestSize < 0 || h.answerSize < 0 {
			h = requestHead{id: "unreadable: " + string(line)}
		}
		if len(rest) < h.requestSize {
			return all
		}
		p.buf = rest[h.requestSize:]
		all = append(all, h)
	}
}

// answerHead is the first line of an answer.
type answerHead struct {
	id, outcome string
	size        int
}

// parseAnswer returns the first answer in a stream and the rest of the stream. It reports
// whether the answer is complete and whether it is correct: it belongs to the request and
// has exactly the body that it must have.
func parseAnswer(buf []byte, id string, size int) (head answerHead, rest []byte, correct, complete bool) {
	line, rest, ok := bytes.Cut(buf, []byte{'\n'})
	if !ok {
		return head, buf, false, false
	}
	if n, err := fmt.Sscanf(string(line), "%s %s %d", &head.id, &head.outcome, &head.size); err != nil || n < 3 || head.size < 0 {
		return head, nil, false, true
	}
	if len(rest) < head.size {
		return head, buf, false, false
	}
	want := size
	if head.outcome != answerDone {
		want = 0
	}
	correct = head.id == id && head.size == want && bytes.Equal(rest[:head.size], answerBody(id, want))
	return head, rest[head.size:], correct, true
}
