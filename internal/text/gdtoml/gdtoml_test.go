package gdtoml_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// FuzzDecode checks that the decoder doesn't panic and that each problem has a reason and
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
		problems := gdtoml.Decode([]byte(s), &d)
		for _, problem := range problems {
			if problem.Line() < 0 || problem.Line() > lines || problem.Reason() == "" {
				t.Fatalf("problem %+v in %d lines", problem, lines)
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
	problems := gdtoml.Decode([]byte(wrong), &d)
	require.NotEmpty(t, problems)
	require.LessOrEqual(t, len(problems)*len(wrong), 10<<20, "bytes decoded")

	// The library takes minutes to decode each of these.
	for _, line := range []string{"k%d = 1\n", "[t%d]\n", "[[t%d]]\n", "[a.t%d]\n", "[[a]]\n[a.t%d]\n"} {
		var wide strings.Builder
		for i := range 60_000 {
			fmt.Fprintf(&wide, line, i)
		}
		problems := gdtoml.Decode([]byte(wide.String()), &d)
		require.Len(t, problems, 1, line)
		require.Equal(t, "too many different keys or tables, or too deep nesting", problems[0].Reason())
		require.NotZero(t, problems[0].Line())
	}
	for _, doc := range []string{
		"a = [{" + strings.Repeat("k = 1, ", 5000) + "}]",
		"a" + strings.Repeat(".a", 100_000) + " = 1",
		"[a" + strings.Repeat(".a", 100_000) + "]",
		"a = {a" + strings.Repeat(".a", 100_000) + " = 1}",
	} {
		problems := gdtoml.Decode([]byte(doc), &d)
		require.Len(t, problems, 1)
		require.Equal(t, 1, problems[0].Line())
		require.Less(t, len(problems[0].Key()), 100)
	}
}
