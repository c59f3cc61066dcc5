package gdkey_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

func TestKeyIsNeverPrinted(t *testing.T) {
	const digits = "5a"
	f, err := gdkey.Parse(strings.Repeat(digits, gdkey.Size))
	require.NoError(t, err)
	inside := struct{ Fleet gdkey.FleetKey }{f}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d", "%q"} {
		for _, v := range []any{f, &f, inside} {
			text := fmt.Sprintf(verb, v)
			require.NotContains(t, text, digits+digits, verb)
			require.NotContains(t, text, "90 90", verb)
		}
	}
	data, err := json.Marshal(inside)
	require.NoError(t, err)
	require.NotContains(t, string(data), digits)
}

func TestInvalidKeysAreRejectedWithoutQuotingThem(t *testing.T) {
	for _, text := range []string{"", "zz", strings.Repeat("ab", 31), strings.Repeat("zz", 32)} {
		_, err := gdkey.Parse(text)
		require.Error(t, err)
		require.NotContains(t, err.Error(), "ab")
		require.NotContains(t, err.Error(), "zz")
	}
}

func TestPurposesGiveDifferentKeys(t *testing.T) {
	f, err := gdkey.Parse(strings.Repeat("5a", gdkey.Size))
	require.NoError(t, err)
	require.Equal(t, f.Derive("a", 16), f.Derive("a", 16))
	require.NotEqual(t, f.Derive("a", 16), f.Derive("b", 16))
}
