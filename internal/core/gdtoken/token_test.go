package gdtoken_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdtoken"
)

var (
	first  = gdtoken.NewKey(0, []byte("first-token-key0"))
	second = gdtoken.NewKey(1, []byte("second-token-key"))
)

func keyring(t testing.TB, keys ...gdtoken.Key) *gdtoken.Keyring {
	r, err := gdtoken.NewKeyring(keys)
	require.NoError(t, err)
	return r
}

// TestRotationKeepsTokens goes through the steps of a key rotation and opens the tokens
// sealed at each step with the keyring of every step. A token must open exactly with the
// keyrings that contain its key, among them those one step before and one step after.
func TestRotationKeepsTokens(t *testing.T) {
	steps := [][]gdtoken.Key{{first}, {first, second}, {second, first}, {second}}
	issued := []gdtoken.Key{first, first, second, second}
	for from := range steps {
		want := gdtoken.New(1, 101, 7, uint32(from))
		cid := gdtoken.NewSealer(keyring(t, steps[from]...)).Seal(want)
		for at := range steps {
			got, ok := gdtoken.NewOpener(keyring(t, steps[at]...)).Open(cid[:])
			hasKey := false
			for _, k := range steps[at] {
				hasKey = hasKey || k.Phase() == issued[from].Phase()
			}
			require.Equal(t, hasKey, ok, "sealed at step %d, opened at step %d", from, at)
			if next := at - from; next == 1 || next == -1 {
				require.True(t, ok, "one step apart: sealed at %d, opened at %d", from, at)
			}
			if ok {
				require.Equal(t, want, got)
			}
		}
	}
}

func TestKeyringRejectsInvalidKeys(t *testing.T) {
	for _, keys := range [][]gdtoken.Key{nil, {gdtoken.NewKey(4, make([]byte, gdtoken.KeySize))}, {gdtoken.NewKey(0, []byte("short"))}} {
		_, err := gdtoken.NewKeyring(keys)
		require.Error(t, err)
	}
}

// TestForgedTokens opens a million random connection IDs that look like tokens of a
// current phase. None of them may name an upstream together with its service, in a
// deployment of the maximum supported size.
func TestForgedTokens(t *testing.T) {
	const (
		guesses   = 1_000_000
		services  = 1_800
		upstreams = 7_900
	)
	o := gdtoken.NewOpener(keyring(t, first, second))
	r := rand.New(rand.NewPCG(20261203, 1))
	opened, accepted := 0, 0
	var cid [gdtoken.Size]byte
	for range guesses {
		cid[0] = byte(r.UintN(2))<<6 | (gdtoken.Size - 1)
		for i := 1; i < gdtoken.Size; i++ {
			cid[i] = byte(r.Uint32())
		}
		token, ok := o.Open(cid[:])
		if !ok {
			continue
		}
		opened++
		// Upstream n belongs to the service n modulo services.
		u := token.Upstream()
		if u < upstreams && token.Service() == gdconf.ServiceID(u%services) {
			accepted++
		}
	}
	t.Logf("of %d guesses %d matched the check bits, %d also service and upstream", guesses, opened, accepted)
	require.Zero(t, accepted)
}

func FuzzOpen(f *testing.F) {
	sealed := gdtoken.NewSealer(keyring(f, first)).Seal(gdtoken.New(1, 101, 7, 1))
	f.Add(sealed[:])
	f.Add(sealed[:gdtoken.Size-1])
	f.Add([]byte{})
	f.Add(append([]byte{0xd0}, sealed[1:]...)) // a phase without a key
	o := gdtoken.NewOpener(keyring(f, first, second))
	sealer := gdtoken.NewSealer(keyring(f, first))
	f.Fuzz(func(t *testing.T, cid []byte) {
		token, ok := o.Open(cid)
		if !ok || cid[0]>>6 != first.Phase() {
			return
		}
		// Sealing the opened token under the same key returns the same ID.
		resealed := sealer.Seal(token)
		require.Equal(t, cid, resealed[:])
	})
}
