package gdsettings

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/text/gdtoml"
)

// checker collects the problems of one settings file.
type checker struct {
	file  string
	dir   string
	lines gdtoml.Positions
	// undecoded contains the keys whose values can't be decoded.
	undecoded map[string]bool
	problems  Problems
}

func (k *checker) problem(line int, key, format string, args ...any) {
	k.problems = append(k.problems, Problem{
		file:   k.file,
		line:   line,
		key:    key,
		reason: fmt.Sprintf(format, args...),
	})
}

// add reports a problem of a key, unless a problem with its decoding has already been
// reported.
func (k *checker) add(key, format string, args ...any) {
	if !k.undecoded[key] {
		k.problem(k.lines.Line(key), key, format, args...)
	}
}

// addOrMissing reports that the key is missing, or the given problem if it is present.
func (k *checker) addOrMissing(key, format string, args ...any) {
	if !k.lines.Has(key) {
		k.add(key, "the key is missing")
		return
	}
	k.add(key, format, args...)
}

func (k *checker) checkName(key, s string) {
	if !config.ValidName(s) {
		k.addOrMissing(key, "name %q is not in kebab case", s)
	}
}

func (k *checker) checkAddress(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		k.addOrMissing(key, "an IP address and a port from 1 to 65535 are required")
	}
}

// checkURL requires an http URL and removes a trailing slash, as paths are appended to
// the URL.
func (k *checker) checkURL(key string, s *string) {
	*s = strings.TrimSuffix(*s, "/")
	u, err := url.Parse(*s)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		k.addOrMissing(key, "an http URL is required, such as http://192.0.2.1:8080")
		return
	}
	if u.User != nil {
		k.add(key, "a user name or password is not allowed in a URL")
	}
}

func (k *checker) checkPath(key, s string) {
	if !strings.HasPrefix(s, "/") {
		k.add(key, "%q does not start with a slash", s)
	}
}

func (k *checker) requireRange(key string, n, low, high int) {
	if n < low || n > high {
		k.add(key, "%d is not between %d and %d", n, low, high)
	}
}

func (k *checker) checkLevel(key string, l LogLevel) {
	if l != LevelDebug && l != LevelInfo && l != LevelError {
		k.add(key, "%q is none of %q, %q and %q", l, LevelDebug, LevelInfo, LevelError)
	}
}

// checkReadable resolves the name relative to the directory of the settings file and
// reports a file that can't be read.
func (k *checker) checkReadable(key string, name *string) bool {
	if *name == "" {
		k.addOrMissing(key, "a file name is required")
		return false
	}
	if !filepath.IsAbs(*name) {
		*name = filepath.Join(k.dir, *name)
	}
	if err := readable(*name); err != nil {
		k.add(key, "%v", err)
		return false
	}
	return true
}

// checkKeyPair reports a certificate that doesn't match the private key. The errors of
// crypto/tls quote neither of them.
func (k *checker) checkKeyPair(certKey string, certFile *string, keyKey string, keyFile *string) {
	cert := k.checkReadable(certKey, certFile)
	key := k.checkReadable(keyKey, keyFile)
	if !cert || !key {
		return
	}
	if _, err := tls.LoadX509KeyPair(*certFile, *keyFile); err != nil {
		k.add(certKey, "%v", err)
	}
}

// requireDifferent reports two listeners with the same address.
func (k *checker) requireDifferent(key string, a netip.AddrPort, otherKey string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		k.add(key, "the address is the same as %s", otherKey)
	}
}

func (k *checker) checkKeyFile(key string, name *string) {
	if !k.checkReadable(key, name) {
		return
	}
	if _, err := ReadKey(*name); err != nil {
		k.add(key, "%v", err)
	}
}

// readable returns the error of opening a file for reading, or nil.
func readable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return f.Close()
}
