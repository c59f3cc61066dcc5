package gdtoml_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// FuzzDecode checks that the decoder doesn't panic and that each fault has a reason and
// a line within the document.
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

func TestDecodingTimeIsBounded(t *testing.T) {
	var d struct {
		Slots []struct {
			Count int `toml:"count"`
		} `toml:"slots"`
	}
	wrong := strings.Repeat("[[slots]]\ncount = 'many'\n", 40_000)
	faults := gdtoml.Decode([]byte(wrong), &d)
	require.NotEmpty(t, faults)
	require.LessOrEqual(t, len(faults)*len(wrong), 10<<20, "bytes decoded")

	// The library takes minutes to decode each of these.
	for _, line := range []string{"k%d = 1\n", "[t%d]\n", "[[t%d]]\n", "[a.t%d]\n", "[[a]]\n[a.t%d]\n"} {
		var wide strings.Builder
		for i := range 60_000 {
			fmt.Fprintf(&wide, line, i)
		}
		faults := gdtoml.Decode([]byte(wide.String()), &d)
		require.Len(t, faults, 1, line)
		require.Equal(t, "too many different keys or tables, or too deep nesting", faults[0].Reason())
		require.NotZero(t, faults[0].Line())
	}
	for _, doc := range []string{
		"a = [{" + strings.Repeat("k = 1, ", 5000) + "}]",
		"a" + strings.Repeat(".a", 100_000) + " = 1",
		"[a" + strings.Repeat(".a", 100_000) + "]",
		"a = {a" + strings.Repeat(".a", 100_000) + " = 1}",
	} {
		faults := gdtoml.Decode([]byte(doc), &d)
		require.Len(t, faults, 1)
		require.Equal(t, 1, faults[0].Line())
		require.Less(t, len(faults[0].Key()), 100)
	}
}
