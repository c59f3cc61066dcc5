package gdserve

import (
	"context"
	"io"
	"math/rand/v2"
	"net/url"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdagent"
	"godwitdrift.example/godwitdrift/internal/process/gdpoll"
	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
)

// Agent runs an agent until the context ends, and then until it has drained. It
// logs to w.
func Agent(ctx context.Context, s gdsettings.Agent, w io.Writer) error {
	inj := do.New()
	provideCommon(inj, s.Common, roleAgent, w)
	fleet, err := do.Invoke[gdkey.Fleet](inj)
	if err != nil {
		return err
	}
	target, err := url.Parse(s.UpstreamURL)
	if err != nil {
		return errors.Wrap(err, "read the upstream's URL")
	}
	conf := do.MustInvoke[*gdpoll.Poller](inj)
	certs := &gdagent.Certificates{
		CertFile: s.CertFile,
		KeyFile:  s.KeyFile,
		Loaded:   logCertificate(do.MustInvoke[gdlog.Logger](inj)),
	}
	requests := &gdrequest.Server{
		Self:   gdconf.UpstreamID(s.UpstreamID),
		Config: conf,
		Target: target,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	a := &gdagent.Agent{
		NodeAddress: s.NodeAddress,
		Upstream:    gdconf.UpstreamID(s.UpstreamID),
		Requests:    requests,
		Fleet:       fleet,
		Config:      conf,
		Certificate: certs.Get,
		MaxFlows:    s.MaxFlows,
	}
	p := &process{
		settings:    s.Common,
		role:        roleAgent,
		incarnation: a.Incarnation,
		config:      conf,
		counters:    &a.Counters,
		state:       func() any { return a.State() },
	}
	go requests.Run(context.WithoutCancel(ctx)) // ends with the process
	return runProcess(ctx, inj, p, a.Run)
}

func logCertificate(log gdlog.Logger) func(error) {
	return func(err error) {
		if err != nil {
			log.Failure(gdlog.CertificateFailed, err)
			return
		}
		log.Event(gdlog.CertificateLoaded)
	}
}
