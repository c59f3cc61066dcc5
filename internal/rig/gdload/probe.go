package gdload

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout bounds one try of Probe.
const probeTimeout = 2 * time.Second

// Probe sends one echo request to the target and reports why it got no right
// answer.
func Probe(ctx context.Context, t Target, roots *x509.CertPool) error {
	l := &Load{Targets: []Target{t}, Roots: roots, Timeout: probeTimeout}
	f := newFlow(l, t, "probe", uint64(time.Now().UnixNano()))
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	c, err := f.connect(ctx)
	if err != nil {
		return err
	}
	defer c.close()
	o, err := f.request(ctx, c, call{path: "/", body: f.body()})
	if err != nil {
		return err
	}
	if o != Answered {
		return errors.Errorf("the request to %s ended as %s", t.Service, o)
	}
	return nil
}
