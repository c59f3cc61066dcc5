package gdload

import (
	"context"
	"crypto/x509"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout is the timeout of the request that Probe sends.
const probeTimeout = 2 * time.Second

// Probe connects to the target and sends one echo request. It returns an error
// unless the answer is correct.
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
	outcome, err := f.request(ctx, c, requestSpec{path: "/", body: f.body()})
	if err != nil {
		return err
	}
	if outcome != Answered {
		return errors.Errorf("probe service %s: outcome %s", t.Service, outcome)
	}
	return nil
}
