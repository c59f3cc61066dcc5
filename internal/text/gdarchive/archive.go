// Package gdarchive reads text archives of named parts, which table-driven tests use in
// testdata.
//
// # Usage
//
// Each part starts with a line that contains its name and ends before the next such
// line:
//
//	-- settings.toml --
//	name = "entry-1"
//	-- problems --
//	ok
//
//	problems := gdarchive.Part(archive, "problems") // "ok\n"
package gdarchive

import "strings"

// Part returns the lines of the part with the given name, or "" if there is none.
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
