package gdserve

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/operate/gdsettings"
	"godwitdrift.example/godwitdrift/internal/process/gdagent"
	"godwitdrift.example/godwitdrift/internal/process/gdconfsync"
	"godwitdrift.example/godwitdrift/internal/process/gdrequest"
	"godwitdrift.example/godwitdrift/internal/wire/gdkey"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// signerKeySize is the length in bytes of the key that signs issued idempotency keys.
const signerKeySize = 32

// peerClient calls the other agents of the service.
type peerClient struct {
	*gdpeer.Dialer
	*gdpeer.Relayer
}

// agentState is the part of a dump that is specific to agents.
type agentState struct {
	gdagent.State
	Requests gdrequest.State `json:"requests"`
}

// RunAgent runs an agent until the context ends and the agent has drained. It logs
// to w.
func RunAgent(ctx context.Context, s gdsettings.Agent, w io.Writer) error {
	inj := do.New()
	provideCommon(inj, s.Common, roleAgent, w)
	do.ProvideValue(inj, s)
	do.Provide(inj, provideRequests)
	requests, err := do.Invoke[*gdrequest.Server](inj)
	if err != nil {
		return err
	}
	certs := &gdagent.Certificates{
		CertFile: s.CertFile,
		KeyFile:  s.KeyFile,
		OnLoad:   logCertificate(do.MustInvoke[gdlog.Logger](inj)),
	}
	a := &gdagent.Agent{
		NodeAddress: s.NodeAddress,
		Name:        s.Name,
		Upstream:    gdconf.UpstreamID(s.UpstreamID),
		Incarnation: uint32(do.MustInvoke[incarnation](inj)),
		Requests:    requests,
		Fleet:       do.MustInvoke[gdkey.FleetKey](inj),
		Config:      do.MustInvoke[*gdconfsync.Syncer](inj),
		Certificate: certs.GetCertificate,
		MaxFlows:    s.MaxFlows,
		OnDecision:  recordPacket(inj),
		Log:         do.MustInvoke[gdlog.Logger](inj),
	}
	p := newProcess(inj, &a.Counters, func() any {
		return agentState{State: a.State(), Requests: requests.State()}
	})
	p.peers.Loads = requests
	p.peers.Queries = requests
	p.peers.Handlers = map[string]http.Handler{
		gdpeer.RelayPrefix + "/": http.StripPrefix(gdpeer.RelayPrefix, http.HandlerFunc(requests.ServePeer)),
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go requests.Run(runCtx) // continues while the agent drains
	return runProcess(ctx, inj, p, a.Run)
}

func provideRequests(inj do.Injector) (*gdrequest.Server, error) {
	s := do.MustInvoke[gdsettings.Agent](inj)
	target, err := url.Parse(s.UpstreamURL)
	if err != nil {
		return nil, errors.Wrap(err, "parse upstream URL")
	}
	conf, err := do.Invoke[*gdconfsync.Syncer](inj)
	if err != nil {
		return nil, err
	}
	fleet := do.MustInvoke[gdkey.FleetKey](inj)
	return &gdrequest.Server{
		Self:         gdconf.UpstreamID(s.UpstreamID),
		Incarnation:  uint32(do.MustInvoke[incarnation](inj)),
		Config:       conf,
		Target:       target,
		MaxKeyedBody: int64(s.MaxBodyBufferKiB) << 10,
		HealthPath:   s.HealthPath,
		OnDecision:   recordRequest(inj),
		Log:          do.MustInvoke[gdlog.Logger](inj),
		Signer:       gddedup.NewSigner(fleet.Derive("issued-keys", signerKeySize)),
		Peers: peerClient{
			Dialer:  do.MustInvoke[*gdpeer.Dialer](inj),
			Relayer: &gdpeer.Relayer{Identity: do.MustInvoke[*gdpeer.Identity](inj)},
		},
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, nil
}

func logCertificate(log gdlog.Logger) func(error) {
	return func(err error) {
		if err != nil {
			log.Failure(gdlog.CertificateReloadFailed, err)
			return
		}
		log.Event(gdlog.CertificateReloaded)
	}
}
