package gdagent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certCheckInterval is the minimum time between two checks of the certificate files.
const certCheckInterval = 2 * time.Second

// Certificates loads a certificate from two files and reloads it when one of them
// changes. Open flows are not affected. The fields must be set before the first call.
// It is safe for concurrent use.
type Certificates struct {
	// CertFile and KeyFile are PEM files.
	CertFile, KeyFile string
	// OnLoad, if set, is called after each load with its error.
	OnLoad func(error)

	mu       sync.Mutex
	cert     *tls.Certificate
	checked  time.Time
	modified time.Time
}

// GetCertificate returns the certificate. If changed files can't be loaded, it
// returns the previous certificate.
func (c *Certificates) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.cert != nil && now.Sub(c.checked) < certCheckInterval {
		return c.cert, nil
	}
	c.checked = now
	modified, err := c.lastModified()
	if err == nil && c.cert != nil && modified.Equal(c.modified) {
		return c.cert, nil
	}
	if err == nil {
		err = c.load(modified)
	}
	if c.OnLoad != nil {
		c.OnLoad(err)
	}
	if c.cert == nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	return c.cert, nil
}

// lastModified returns the later modification time of the two files.
func (c *Certificates) lastModified() (time.Time, error) {
	cert, err := os.Stat(c.CertFile)
	if err != nil {
		return time.Time{}, errors.WithStack(err)
	}
	key, err := os.Stat(c.KeyFile)
	if err != nil {
		return time.Time{}, errors.WithStack(err)
	}
	if key.ModTime().After(cert.ModTime()) {
		return key.ModTime(), nil
	}
	return cert.ModTime(), nil
}

func (c *Certificates) load(modified time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return errors.WithStack(err)
	}
	c.cert = &cert
	c.modified = modified
	return nil
}
