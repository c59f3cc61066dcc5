// Package gdarchive reads text files that hold several named parts, as the
// table-driven tests keep them in testdata.
//
// # Usage
//
// A part begins with a line of its own and goes on to the next one:
//
//	-- settings.toml --
//	name = "entry-1"
//	-- problems --
//	ok
//
//	problems := gdarchive.Part(archive, "problems") // "ok\n"
package gdarchive

import "strings"

// Part returns the lines of the named part, or "" if there is none.
func Part(archive, name string) string {
	_, rest, ok := strings.Cut("\n"+archive, "\n-- "+name+" --\n")
	if !ok {
		return ""
	}
	if strings.HasPrefix(rest, "-- ") {
		return ""
	}
	body, _, more := strings.Cut(rest, "\n-- ")
	if more {
		body += "\n"
	}
	return body
}
