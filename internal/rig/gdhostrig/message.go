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
	id, class string
	in, out   int
}

// appendRequest appends a request: a line and as many bytes as it says.
func appendRequest(b []byte, h requestHead) []byte {
	b = fmt.Appendf(b, "%s %s %d %d\n", h.id, h.class, h.in, h.out)
	return append(b, bytes.Repeat([]byte{'.'}, h.in)...)
}

// appendAnswer appends an answer: a line and the bytes that belong to the request.
func appendAnswer(b []byte, h requestHead, outcome string) []byte {
	out := h.out
	if outcome != answerDone {
		out = 0
	}
	b = fmt.Appendf(b, "%s %s %d\n", h.id, outcome, out)
	return append(b, body(h.id, out)...)
}

// body returns the only right answer to a request.
func body(id string, n int) []byte {
	word := fmt.Sprintf("%016x", xxhash.Sum64String(id))
	return []byte(strings.Repeat(word, n/len(word)+1)[:n])
}

// requestParser finds the requests in a stream.
type requestParser struct{ buf []byte }

// take returns the requests that are complete with the data.
func (p *requestParser) take(data []byte) []requestHead {
	p.buf = append(p.buf, data...)
	var all []requestHead
	for {
		line, rest, ok := bytes.Cut(p.buf, []byte{'\n'})
		var h requestHead
		if !ok {
			return all
		}
		if n, err := fmt.Sscanf(string(line), "%s %s %d %d", &h.id, &h.class, &h.in, &h.out); err != nil || n < 4 {
			h.id = "unreadable: " + string(line)
		}
		if len(rest) < h.in {
			return all
		}
		p.buf = rest[h.in:]
		all = append(all, h)
	}
}

// answerHead is the first line of an answer.
type answerHead struct {
	id, outcome string
	size        int
}

// takeAnswer returns the first answer in a stream when it is complete, and whether it
// is the whole answer to the request.
func takeAnswer(buf []byte, id string, size int) (head answerHead, rest []byte, whole, complete bool) {
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
	whole = head.id == id && head.size == want && bytes.Equal(rest[:head.size], body(id, want))
	return head, rest[head.size:], whole, true
}
