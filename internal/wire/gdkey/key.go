// Package gdkey derives every secret of the system from one fleet key.
//
// Each process reads the fleet key from its settings. Keys for route tokens,
// envelopes, peer connections and stateless resets are derived from it with
// HKDF-SHA256 under a purpose string, so that no derived key reveals another.
//
// # Usage
//
//	fleet, err := gdkey.Parse(text)
//	block := fleet.Derive("route-token/2026-12", 16)
//
// A [FleetKey] never prints its bytes.
package gdkey

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Size is the length of a fleet key in bytes.
const Size = 32

// FleetKey is the key that all processes of one deployment share.
type FleetKey struct {
	secret [Size]byte
}

// Parse reads a fleet key of 64 hexadecimal digits. Space around it is ignored.
func Parse(text string) (FleetKey, error) {
	b, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil {
		// The cause is left out because it quotes a part of the key.
		return FleetKey{}, errors.New("fleet key: not hexadecimal")
	}
	return New(b)
}

// New returns the fleet key with the given bytes, Size of them.
func New(b []byte) (FleetKey, error) {
	if len(b) != Size {
		return FleetKey{}, errors.Errorf("fleet key: %d bytes, want %d", len(b), Size)
	}
	var f FleetKey
	copy(f.secret[:], b)
	return f, nil
}

// Derive returns n bytes for the purpose. Equal purposes give equal bytes on
// every process of the fleet.
func (f FleetKey) Derive(purpose string, n int) []byte {
	b, err := hkdf.Key(sha256.New, f.secret[:], nil, "godwitdrift/"+purpose, n)
	if err != nil {
		// HKDF only fails beyond 255 hash lengths, far above any key here.
		panic(err)
	}
	return b
}

// hidden stands wherever a key would be printed.
const hidden = "fleet key (hidden)"

// String hides the key from logs and dumps.
func (f FleetKey) String() string { return hidden }

// Format hides the key from each verb.
func (f FleetKey) Format(w fmt.State, _ rune) { _, _ = io.WriteString(w, hidden) }

// MarshalText hides the key from encoders.
func (f FleetKey) MarshalText() ([]byte, error) { return []byte(hidden), nil }
