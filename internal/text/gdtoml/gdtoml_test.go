package gdtoml_test

import (
	"testing"

	"github.com/pelletier/go-toml/v2"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// FuzzDecode holds that no document breaks the decoder and that each fault has a
// reason and a line inside the document.
func FuzzDecode(f *testing.F) {
	type row struct {
		Name  string `toml:"name"`
		Slots int    `toml:"slots"`
	}
	type doc struct {
		Name string `toml:"name"`
		Rows []row  `toml:"services"`
	}
	f.Add("name = 1\n[[services]]\nslots = 'x'\nblue = {a = [1, {b = 2}]}\n")
	f.Add("name = '''\na\n'''\n[services]\n[a.b]\n\"q.r\" = 1")
	f.Add("services = [{name = \"a\", slots = \n[[]]}]")
	f.Fuzz(func(t *testing.T, s string) {
		var d doc
		lines := 1
		for _, c := range s {
			if c == '\n' {
				lines++
			}
		}
		faults := gdtoml.Decode([]byte(s), &d)
		for _, fault := range faults {
			if fault.Line() < 0 || fault.Line() > lines || fault.Reason() == "" {
				t.Fatalf("fault %+v in %d lines", fault, lines)
			}
		}
		var plain map[string]any
		if toml.Unmarshal([]byte(s), &plain) == nil {
			gdtoml.PositionsOf([]byte(s)).Line("services.a.slots")
		}
	})
}
