package gdtrace

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Writer writes a trace. It is not safe for concurrent use.
type Writer struct {
	enc *cbor.Encoder
	n   int
}

// NewWriter writes the header and returns a writer for the events.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format = Format
	out := &Writer{enc: cbor.NewEncoder(w)}
	return out, errors.Wrap(out.enc.Encode(h), "write trace: header")
}

// Write appends an event. Events must be written in the order in which the
// processes received them.
func (w *Writer) Write(e Event) error {
	w.n++
	return errors.Wrapf(w.enc.Encode(e), "write trace: event %d", w.n)
}
