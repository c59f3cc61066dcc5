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

// redacted is printed in place of a key.
const redacted = "(redacted)"

// Key is a secret of 32 bytes. Formatting or encoding a Key never reveals them.
type Key struct {
	bytes [KeySize]byte
}

// ReadKey reads a key from a file of 64 hexadecimal digits, which may be surrounded by
// white space. The error names the file but doesn't quote its contents.
func ReadKey(path string) (Key, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Key{}, errors.Wrap(err, "read fleet key")
	}
	var k Key
	digits := strings.TrimSpace(string(data))
	if hex.DecodedLen(len(digits)) != KeySize || len(digits)%2 != 0 {
		return Key{}, errors.Errorf("read fleet key: %s does not contain 64 hexadecimal digits", path)
	}
	if _, err := hex.Decode(k.bytes[:], []byte(digits)); err != nil {
		return Key{}, errors.Errorf("read fleet key: %s contains characters other than hexadecimal digits", path)
	}
	return k, nil
}

// Bytes returns a copy of the secret bytes.
func (k Key) Bytes() []byte { return append([]byte(nil), k.bytes[:]...) }

// String returns a placeholder in place of the secret.
func (k Key) String() string { return redacted }

// Format writes a placeholder in place of the secret, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a placeholder in place of the secret, for all encoders.
func (k Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }
