package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// outline writes JSON as indented lines of the form "key: value", in the order of the
// document.
type outline struct {
	w   io.Writer
	dec *json.Decoder
}

func writeOutline(w io.Writer, data []byte) error {
	o := outline{w: w, dec: json.NewDecoder(bytes.NewReader(data))}
	o.dec.UseNumber()
	return errors.Wrap(o.value("", 0), "show state")
}

// value writes the next value, preceded by label.
func (o outline) value(label string, depth int) error {
	tok, err := o.dec.Token()
	if err != nil {
		return err
	}
	indent := strings.Repeat("  ", depth)
	delim, ok := tok.(json.Delim)
	if !ok {
		fmt.Fprintf(o.w, "%s%s%v\n", indent, label, formatScalar(tok))
		return nil
	}
	if label != "" {
		if !o.dec.More() {
			label += "none"
		}
		fmt.Fprintf(o.w, "%s%s\n", indent, strings.TrimSuffix(label, " "))
		depth++
	}
	return o.members(delim == '{', depth)
}

func (o outline) members(named bool, depth int) error {
	for o.dec.More() {
		label := "- "
		if named {
			key, err := o.dec.Token()
			if err != nil {
				return err
			}
			label = fmt.Sprintf("%v: ", key)
		}
		if err := o.value(label, depth); err != nil {
			return err
		}
	}
	_, err := o.dec.Token() // the closing delimiter
	return err
}

// formatScalar returns the printed form of a scalar.
func formatScalar(tok json.Token) any {
	if tok == nil {
		return "none"
	}
	return tok
}
