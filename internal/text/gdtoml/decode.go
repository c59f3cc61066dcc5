package gdtoml

import (
	"bytes"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxDecodedBytes bounds the bytes decoded to find the problems of a document. For a
// small document all problems are found, for one of a megabyte only the first few.
const maxDecodedBytes = 8 << 20

// Problem describes one error in a document.
type Problem struct {
	line   int
	key    string
	reason string
}

// Line returns the line, counted from 1, or 0 if it is unknown.
func (p Problem) Line() int { return p.line }

// Key returns the dotted key, or "" if the document is not TOML.
func (p Problem) Key() string { return p.key }

// Reason returns the description of the problem, without a full stop.
func (p Problem) Reason() string { return p.reason }

// Decode decodes a document into v, which must point to a struct, and returns all
// problems: unknown keys, values of a wrong type, or a syntax error. If there is a problem,
// v is incomplete and useful only for further checks.
func Decode(data []byte, v any) []Problem {
	if f, ok := exceedsLimits(data); ok {
		return []Problem{f}
	}
	err := decodeStrict(data, v)
	if err == nil {
		return nil
	}
	if f, ok := syntaxProblem(data); ok {
		return []Problem{f}
	}
	return collectProblems(data, v, err)
}

func decodeStrict(data []byte, v any) error {
	return toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
}

// syntaxProblem returns the syntax error of a document that is not TOML.
func syntaxProblem(data []byte) (Problem, bool) {
	var doc map[string]any
	err := toml.Unmarshal(data, &doc)
	if err == nil {
		return Problem{}, false
	}
	f := problemOf(err)
	f.key = ""
	return f, true
}

// collectProblems decodes the document repeatedly, each time without the line of the last
// problem, as the library stops at the first value of a wrong type.
func collectProblems(data []byte, v any, err error) []Problem {
	var problems []Problem
	lines := bytes.SplitAfter(data, []byte("\n"))
	for decoded := 0; err != nil && decoded < maxDecodedBytes; decoded += len(data) {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return append(problems, unknownKeys(strict)...)
		}
		f := problemOf(err)
		if f.line == 0 {
			f.line, f.key = findLine(lines, v, err)
		}
		problems = append(problems, f)
		if f.line < 1 || f.line > len(lines) || bytes.IndexByte(lines[f.line-1], '=') < 0 {
			break
		}
		lines[f.line-1] = []byte("\n")
		rest := bytes.Join(lines, nil)
		if _, broken := syntaxProblem(rest); broken {
			break // the value spans several lines
		}
		err = decodeStrict(rest, v)
	}
	return problems
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

func problemOf(err error) Problem {
	f := Problem{reason: describe(err.Error())}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.line, _ = de.Position()
		f.key = strings.Join(de.Key(), ".")
	}
	return f
}

func unknownKeys(strict *toml.StrictMissingError) []Problem {
	var problems []Problem
	for i := range strict.Errors {
		f := Problem{reason: "unknown key", key: strings.Join(strict.Errors[i].Key(), ".")}
		f.line, _ = strict.Errors[i].Position()
		problems = append(problems, f)
	}
	return problems
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
