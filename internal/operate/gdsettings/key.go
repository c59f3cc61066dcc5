package gdsettings

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// KeySize is the size of a fleet key in bytes.
const KeySize = 32

// redacted stands wherever a key would be printed.
const redacted = "(redacted)"

// Key is a secret of 32 bytes. Formatting and encoding it never shows them.
type Key struct {
	bytes [KeySize]byte
}

// ReadKey reads a key from a file with 64 hexadecimal digits. White space around
// them is allowed. The error names the file and never quotes its content.
func ReadKey(path string) (Key, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Key{}, errors.Wrap(err, "read fleet key")
	}
	var k Key
	digits := strings.TrimSpace(string(data))
	if hex.DecodedLen(len(digits)) != KeySize || len(digits)%2 != 0 {
		return Key{}, errors.Errorf("read fleet key: %s does not hold 64 hexadecimal digits", path)
	}
	if _, err := hex.Decode(k.bytes[:], []byte(digits)); err != nil {
		return Key{}, errors.Errorf("read fleet key: %s holds something else than hexadecimal digits", path)
	}
	return k, nil
}

// Bytes returns a copy of the secret bytes.
func (k Key) Bytes() []byte { return append([]byte(nil), k.bytes[:]...) }

// String returns a fixed text in place of the secret.
func (k Key) String() string { return redacted }

// Format writes a fixed text in place of the secret, for each verb.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a fixed text in place of the secret, for all encoders.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }
