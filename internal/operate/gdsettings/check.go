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

// checker gathers the problems of one settings file.
type checker struct {
	file     string
	dir      string
	lines    gdtoml.Positions
	bad      map[string]bool
	problems Problems
}

func (k *checker) problem(line int, key, format string, args ...any) {
	k.problems = append(k.problems, Problem{
		file:   k.file,
		line:   line,
		key:    key,
		reason: fmt.Sprintf(format, args...),
	})
}

// add reports a problem of a key, unless the key could not be decoded, which
// has been reported already.
func (k *checker) add(key, format string, args ...any) {
	if !k.bad[key] {
		k.problem(k.lines.Line(key), key, format, args...)
	}
}

// missingOr reports a missing key, or the reason when the key is there.
func (k *checker) missingOr(key, format string, args ...any) {
	if !k.lines.Has(key) {
		k.add(key, "the key is missing")
		return
	}
	k.add(key, format, args...)
}

func (k *checker) name(key, s string) {
	if !config.ValidName(s) {
		k.missingOr(key, "name %q is not in kebab case", s)
	}
}

func (k *checker) address(key string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		k.missingOr(key, "an IP address and a port from 1 to 65535 are needed")
	}
}

// url wants an http URL and takes a slash off its end, as paths are put behind it.
func (k *checker) url(key string, s *string) {
	*s = strings.TrimSuffix(*s, "/")
	u, err := url.Parse(*s)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		k.missingOr(key, "an http URL is needed, such as http://192.0.2.1:8080")
		return
	}
	if u.User != nil {
		k.add(key, "a user name or password is not allowed in a URL")
	}
}

func (k *checker) path(key, s string) {
	if !strings.HasPrefix(s, "/") {
		k.add(key, "%q does not start with a slash", s)
	}
}

func (k *checker) between(key string, n, low, high int) {
	if n < low || n > high {
		k.add(key, "%d is not between %d and %d", n, low, high)
	}
}

func (k *checker) level(key string, l LogLevel) {
	if l != LevelDebug && l != LevelInfo && l != LevelError {
		k.add(key, "%q is none of %q, %q and %q", l, LevelDebug, LevelInfo, LevelError)
	}
}

// readableFile makes the name relative to the settings' directory and reports a file
// that can't be read.
func (k *checker) readableFile(key string, name *string) bool {
	if *name == "" {
		k.missingOr(key, "a file name is needed")
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

// keyPair reports a certificate that doesn't belong to the private key. The
// library's errors quote neither.
func (k *checker) keyPair(certKey string, certFile *string, keyKey string, keyFile *string) {
	cert := k.readableFile(certKey, certFile)
	key := k.readableFile(keyKey, keyFile)
	if !cert || !key {
		return
	}
	if _, err := tls.LoadX509KeyPair(*certFile, *keyFile); err != nil {
		k.add(certKey, "%v", err)
	}
}

// different reports two listeners on one address.
func (k *checker) different(key string, a netip.AddrPort, otherKey string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		k.add(key, "the address is that of %s", otherKey)
	}
}

func (k *checker) keyFile(key string, name *string) {
	if !k.readableFile(key, name) {
		return
	}
	if _, err := ReadKey(*name); err != nil {
		k.add(key, "%v", err)
	}
}

// readable reports why a file can't be read, or nil.
func readable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return f.Close()
}
