package gdtoml

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxDecodedBytes bounds the bytes decoded to find the faults of a document. For a
// small document all faults are found, for one of a megabyte only the first few.
const maxDecodedBytes = 8 << 20

// Fault describes one error in a document.
type Fault struct {
	line   int
	key    string
	reason string
}

// Line returns the line, counted from 1, or 0 if it is unknown.
func (f Fault) Line() int { return f.line }

// Key returns the dotted key, or "" if the document is not TOML.
func (f Fault) Key() string { return f.key }

// Reason returns the description of the fault, without a full stop.
func (f Fault) Reason() string { return f.reason }

// Decode decodes a document into v, which must point to a struct, and returns all
// faults: unknown keys, values of a wrong type, or a syntax error. If there is a fault,
// v is incomplete and useful only for further checks.
func Decode(data []byte, v any) []Fault {
	if f, ok := exceedsLimits(data); ok {
		return []Fault{f}
	}
	err := decodeStrict(data, v)
	if err == nil {
		return nil
	}
	if f, ok := syntaxFault(data); ok {
		return []Fault{f}
	}
	return collectFaults(data, v, err)
}

func decodeStrict(data []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
}

// syntaxFault returns the syntax error of a document that is not TOML.
func syntaxFault(data []byte) (Fault, bool) {
	var doc map[string]any
	err := toml.Unmarshal(data, &doc)
	if err == nil {
		return Fault{}, false
	}
	f := faultOf(err)
	f.key = ""
	return f, true
}

// collectFaults decodes the document repeatedly, each time without the line of the last
// fault, as the library stops at the first value of a wrong type.
func collectFaults(data []byte, v any, err error) []Fault {
	var faults []Fault
	lines := bytes.SplitAfter(data, []byte("\n"))
	for decoded := 0; err != nil && decoded < maxDecodedBytes; decoded += len(data) {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return append(faults, unknownKeys(strict)...)
		}
		f := faultOf(err)
		if f.line == 0 {
			f.line, f.key = findLine(lines, v, err)
		}
		faults = append(faults, f)
		if f.line < 1 || f.line > len(lines) || bytes.IndexByte(lines[f.line-1], '=') < 0 {
			break
		}
		lines[f.line-1] = []byte("\n")
		rest := bytes.Join(lines, nil)
		if _, broken := syntaxFault(rest); broken {
			break // the value spans several lines
		}
		err = decodeStrict(rest, v)
	}
	return faults
}

// findLine finds the line of an error without a position, such as one returned by an
// UnmarshalText method. It is the line that gives the same error when decoded alone.
func findLine(lines [][]byte, v any, err error) (line int, key string) {
	for i, text := range lines {
		name, _, _ := bytes.Cut(text, []byte("="))
		alone := decodeStrict(text, v)
		if alone != nil && alone.Error() == err.Error() {
			return i + 1, string(bytes.TrimSpace(name))
		}
	}
	return 0, ""
}

func faultOf(err error) Fault {
	f := Fault{reason: describe(err.Error())}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.line, _ = de.Position()
		f.key = strings.Join(de.Key(), ".")
	}
	return f
}

func unknownKeys(strict *toml.StrictMissingError) []Fault {
	var faults []Fault
	for i := range strict.Errors {
		f := Fault{reason: "unknown key", key: strings.Join(strict.Errors[i].Key(), ".")}
		f.line, _ = strict.Errors[i].Position()
		faults = append(faults, f)
	}
	return faults
}

var wrongType = regexp.MustCompile(`^cannot decode TOML (\S+) into .*?(?:of type )?(\S+)$`)

// typeNames are the descriptions of the fields' types in error messages.
var typeNames = map[string]string{
	"int":            "an integer",
	"uint8":          "a positive integer",
	"uint16":         "a positive integer",
	"uint32":         "a positive integer",
	"uint64":         "a positive integer",
	"float64":        "a number",
	"bool":           "true or false",
	"string":         "a string",
	"netip.AddrPort": "a string with an IP address and a port",
	"netip.Addr":     "a string with an IP address",
}

// describe rewords the decoder's message without the names of Go types.
func describe(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	m := wrongType.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	return "got a value of type " + m[1] + ", but " + typeName(m[2], m[1]) + " is required"
}

// typeName describes the required type. A named type that is not in typeNames is a
// table or a string; it must be a table if the given value is a string.
func typeName(required, given string) string {
	name, ok := typeNames[required]
	switch {
	case ok:
		return name
	case strings.HasPrefix(required, "[]"):
		return "an array"
	case given == "string":
		return "a table"
	default:
		return "a string"
	}
}
