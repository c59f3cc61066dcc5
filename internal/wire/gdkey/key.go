// Package gdkey derives all secrets of a deployment from one fleet key.
//
// Each process reads the fleet key from its settings. The keys for route tokens,
// envelopes, peer connections and stateless resets are derived from it with HKDF-SHA256
// and a purpose string each, so that no derived key reveals another.
//
// # Usage
//
//	fleet, err := gdkey.Parse(text)
//	block := fleet.Derive("route-token/2026-12", 16)
//
// Printing or encoding a [FleetKey] does not reveal its bytes.
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

// FleetKey is the secret key that all processes of one deployment share.
type FleetKey struct {
	secret [Size]byte
}

// Parse parses a fleet key of 64 hexadecimal digits. It ignores surrounding white space.
func Parse(text string) (FleetKey, error) {
	b, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil {
		// The cause is omitted because it quotes a part of the key.
		return FleetKey{}, errors.New("fleet key: not hexadecimal")
	}
	return New(b)
}

// New returns a fleet key. The length of b must be Size.
func New(b []byte) (FleetKey, error) {
	if len(b) != Size {
		return FleetKey{}, errors.Errorf("fleet key: %d bytes, want %d", len(b), Size)
	}
	var f FleetKey
	copy(f.secret[:], b)
	return f, nil
}

// Derive returns n bytes for the purpose. The same purpose yields the same bytes in every
// process of the fleet.
func (f FleetKey) Derive(purpose string, n int) []byte {
	b, err := hkdf.Key(sha256.New, f.secret[:], nil, "godwitdrift/"+purpose, n)
	if err != nil {
		// HKDF fails only for more than 255 hash lengths, far above any key size here.
		panic(err)
	}
	return b
}

// redacted replaces the key in any output.
const redacted = "fleet key (hidden)"

// String implements fmt.Stringer without revealing the key in logs and dumps.
func (f FleetKey) String() string { return redacted }

// Format implements fmt.Formatter without revealing the key for any verb.
func (f FleetKey) Format(w fmt.State, _ rune) { _, _ = io.WriteString(w, redacted) }

// MarshalText implements encoding.TextMarshaler without revealing the key.
func (f FleetKey) MarshalText() ([]byte, error) { return []byte(redacted), nil }
