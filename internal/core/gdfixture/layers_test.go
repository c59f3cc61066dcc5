package gdfixture_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "godwitdrift.example/godwitdrift/"

// forbidden are the packages of the standard library that a core must not
// import, because they do I/O or give access to system clocks.
var forbidden = []string{"net", "net/http", "os", "io/fs", "log", "log/slog", "syscall", "crypto/tls"}

// clocks are the functions of package time that read the clock or wait.
var clocks = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// TestCoresImportNoAdapter checks the imports of each core and of package config, and that
// they get the time as an argument.
func TestCoresImportNoAdapter(t *testing.T) {
	files := 0
	walk := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		requireNoClock(t, path, f)
		for _, spec := range f.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			require.NoError(t, err)
			require.NotContains(t, forbidden, name, path)
			if own, ok := strings.CutPrefix(name, module); ok {
				require.True(t, allowed(own), "%s imports %s", path, own)
			}
		}
		return nil
	}
	require.NoError(t, filepath.WalkDir("..", walk))
	require.NoError(t, filepath.WalkDir("../../../config", walk))
	require.Greater(t, files, 30)
}

// requireNoClock checks that no function of package time that depends on the clock is used.
func requireNoClock(t *testing.T, path string, f *ast.File) {
	t.Helper()
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" {
				require.NotContains(t, clocks, s.Sel.Name, path)
			}
		}
		return true
	})
}

func allowed(own string) bool {
	return own == "config" || strings.HasPrefix(own, "internal/core/") || strings.HasPrefix(own, "internal/text/")
}
