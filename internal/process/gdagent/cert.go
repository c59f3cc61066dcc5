package gdagent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certCheck is how often the certificate files are looked at.
const certCheck = 2 * time.Second

// Certificates serves a certificate from two files and loads it again when one
// of them changes. Flows that are open keep theirs. Its fields are set before the
// first call; it is safe for concurrent use.
type Certificates struct {
	// CertFile and KeyFile are PEM files.
	CertFile, KeyFile string
	// OnLoad is called after each load with its error, if it is set.
	OnLoad func(error)

	mu      sync.Mutex
	cert    *tls.Certificate
	checked time.Time
	changed time.Time
}

// GetCertificate returns the certificate. When new files can't be loaded, the old
// certificate stays.
func (c *Certificates) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.cert != nil && now.Sub(c.checked) < certCheck {
		return c.cert, nil
	}
	c.checked = now
	newest, err := c.newest()
	if err == nil && c.cert != nil && newest.Equal(c.changed) {
		return c.cert, nil
	}
	if err == nil {
		err = c.load(newest)
	}
	if c.OnLoad != nil {
		c.OnLoad(err)
	}
	if c.cert == nil {
		return nil, errors.Wrap(err, "load the certificate")
	}
	return c.cert, nil
}

// newest returns the later modification time of the two files.
func (c *Certificates) newest() (time.Time, error) {
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

func (c *Certificates) load(changed time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return errors.WithStack(err)
	}
	c.cert = &cert
	c.changed = changed
	return nil
}
