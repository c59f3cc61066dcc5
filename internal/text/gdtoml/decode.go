package gdtoml

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxWork bounds the bytes that are decoded to find the faults of a document. A
// small document gets all of its faults; of one of a megabyte, the first few.
const maxWork = 8 << 20

// Fault is one thing that is wrong with a document.
type Fault struct {
	line   int
	key    string
	reason string
}

// Line returns the line, counted from 1, or 0 if it isn't known.
func (f Fault) Line() int { return f.line }

// Key returns the dotted key, or "" when the document is not TOML.
func (f Fault) Key() string { return f.key }

// Reason returns what is wrong, as a clause without a full stop.
func (f Fault) Reason() string { return f.reason }

// Decode reads a document into v, which must point to a struct, and returns
// everything that is wrong with it: unknown keys, values of a wrong type, or that
// it is no TOML. When there is a fault, the content of v is of no use but for
// finding more of them.
func Decode(data []byte, v any) []Fault {
	if f, ok := tooWide(data); ok {
		return []Fault{f}
	}
	err := decodeStrict(data, v)
	if err == nil {
		return nil
	}
	if f, ok := syntaxFault(data); ok {
		return []Fault{f}
	}
	return gather(data, v, err)
}

func decodeStrict(data []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
}

// syntaxFault says why a document is no TOML.
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

// gather decodes again without each line that is wrong, as the library stops at
// the first value of a wrong type.
func gather(data []byte, v any, err error) []Fault {
	var faults []Fault
	lines := bytes.SplitAfter(data, []byte("\n"))
	for work := 0; err != nil && work < maxWork; work += len(data) {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return append(faults, unknownKeys(strict)...)
		}
		f := faultOf(err)
		if f.line == 0 {
			f.line, f.key = culprit(lines, v, err)
		}
		faults = append(faults, f)
		if f.line < 1 || f.line > len(lines) || bytes.IndexByte(lines[f.line-1], '=') < 0 {
			break
		}
		lines[f.line-1] = []byte("\n")
		rest := bytes.Join(lines, nil)
		if _, broken := syntaxFault(rest); broken {
			break // the value went on in the next line
		}
		err = decodeStrict(rest, v)
	}
	return faults
}

// culprit finds the line of an error without a position, as types that read
// themselves from text give: it gives the same error alone.
func culprit(lines [][]byte, v any, err error) (line int, key string) {
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
	f := Fault{reason: explain(err.Error())}
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

// typeNames are what the types of the fields are called towards people.
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

// explain puts the decoder's message into words that don't name Go types.
func explain(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	m := wrongType.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	return "a value of type " + m[1] + " is given, " + typeName(m[2], m[1]) + " is needed"
}

// typeName says which type is needed where another one was given. The fields'
// own named types are strings or tables.
func typeName(needed, given string) string {
	name, ok := typeNames[needed]
	switch {
	case ok:
		return name
	case strings.HasPrefix(needed, "[]"):
		return "an array"
	case given == "string":
		return "a table"
	default:
		return "a string"
	}
}
