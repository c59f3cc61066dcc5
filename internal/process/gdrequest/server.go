package gdrequest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
	"godwitdrift.example/godwitdrift/internal/process/gdloop"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeer"
)

// pollInterval is the interval at which the server checks for a new configuration.
const pollInterval = 100 * time.Millisecond

// Peers calls the agents of the same service at the addresses of their control
// ports.
type Peers interface {
	// Relay sends the request to a peer's agent and returns the response. It
	// reports whether the peer may have received the request.
	Relay(ctx context.Context, addr string, r *http.Request) (*http.Response, bool, error)
	// Query sends a query about a key to a peer.
	Query(ctx context.Context, addr string, q gddedup.Query) (gddedup.Reply, error)
	// Release releases the grant that the query obtained.
	Release(ctx context.Context, addr string, q gddedup.Query) error
	// Notify sends a notice about a key to a peer.
	Notify(ctx context.Context, addr string, n gddedup.Notice) error
	// ExchangeLoad sends the load of this upstream to a peer and returns the peer's.
	ExchangeLoad(ctx context.Context, addr string, l gdpeer.Load) (gdpeer.PeerLoad, error)
}

// Server serves requests. Its exported fields are set before Run.
type Server struct {
	// Self is the upstream to which the server sends requests.
	Self gdconf.UpstreamID
	// Config provides the active configuration.
	Config gdnode.ConfigSource
	// Target is the upstream's address.
	Target *url.URL
	// Incarnation distinguishes this process from earlier ones at the same address.
	Incarnation uint32
	// Signer signs issued idempotency keys.
	Signer *gddedup.Signer
	// Peers calls the other agents. Nil disables relaying.
	Peers Peers
	// Rand is the random source of the decisions.
	Rand *rand.Rand
	// MaxKeyedBody bounds the body of a request with a key, in bytes. Zero means
	// DefaultMaxKeyedBody.
	MaxKeyedBody int64
	// HealthPath is the path of the upstream's health endpoint. An empty path
	// disables health checks.
	HealthPath string
	// OnDecision, if set, is called with each decision on a request.
	OnDecision func(Decision)
	// Log receives the events.
	Log gdlog.Logger

	initOnce   sync.Once
	lastID     atomic.Uint64
	inProgress atomic.Int64
	stopping   atomic.Bool
	// applied is the view that both cores have, or nil. It is updated by watchConfig.
	applied atomic.Pointer[appliedView]
	// refusing means that each new request is refused.
	refusing atomic.Bool
	// streams counts the open streams among the requests in progress.
	streams atomic.Int64
	// busy is updated by watchConfig.
	busy     atomic.Bool
	proxy    *proxy
	waiting  table[chan gdadmit.Action]
	attempts table[*attempt]
	// addresses holds the last known address of each agent of the service.
	addresses table[netip.AddrPort]

	// warm is the state that logSlowStart logged last. It belongs to the goroutine
	// of admitLoop.
	warm      bool
	admission *gdadmit.DefaultController
	admitLoop *gdloop.Loop[gdadmit.Action]
	dedup     *gddedup.Core
	dedupLoop *gdloop.Loop[gddedup.Action]
}

// Decision is the record of one decision on a request.
type Decision struct {
	// Request is the ID that the caller got in HeaderRequest.
	Request string
	// Flow is the caller's address, or the address of the peer that relayed.
	Flow    string
	Service string
	Action  string
	Reason  string
	Peer    gdconf.UpstreamID
}

// init builds the parts that Run and the requests share. Either may call it first.
func (s *Server) init() { s.initOnce.Do(s.build) }

func (s *Server) build() {
	if s.MaxKeyedBody == 0 {
		s.MaxKeyedBody = DefaultMaxKeyedBody
	}
	s.proxy = newProxy(s.Target)
	s.admission = &gdadmit.DefaultController{
		Slots:    1,
		Limiter:  &gdadmit.AIMD{},
		Selector: &gdselector.Selector{Rand: s.Rand},
		Rand:     s.Rand,
	}
	s.admitLoop = &gdloop.Loop[gdadmit.Action]{
		Tick:     s.admission.Tick,
		NextTick: s.admission.NextTick,
		Deliver:  s.deliverAdmission,
	}
	s.dedup = &gddedup.Core{Self: s.Self, Incarnation: s.Incarnation, Signer: s.Signer, Rand: s.Rand}
	s.dedupLoop = &gdloop.Loop[gddedup.Action]{
		Tick:     s.dedup.Tick,
		NextTick: s.dedup.NextTick,
		Deliver:  s.deliverDedup,
	}
}

// Run serves until the context ends. Requests in progress continue.
func (s *Server) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.watchConfig(ctx) })
	wg.Go(func() { s.exchangeLoads(ctx) })
	wg.Go(func() { s.probeHealth(ctx) })
	wg.Go(func() { s.dedupLoop.Run(ctx) })
	s.admitLoop.Run(ctx)
	wg.Wait()
}

// watchConfig passes changes of the configuration and of the server's state to the
// cores.
func (s *Server) watchConfig(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var lastView *gdconf.View
	var lastStopping bool
	for {
		v, stopping := s.Config.View(), s.stopping.Load()
		if v != nil && (v != lastView || stopping != lastStopping) && s.applyView(ctx, v, stopping) {
			lastView, lastStopping = v, stopping
		}
		s.admitLoop.TryPost(s.updateBusy)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// recordAddresses records the addresses of the service's agents. Agents that have left
// the configuration stay recorded, because they may still know the outcome of a key.
func (s *Server) recordAddresses(v *gdconf.View) {
	self, ok := v.Upstream(s.Self)
	if !ok {
		return
	}
	for _, u := range self.Service().Upstreams() {
		s.addresses.add(uint64(u.ID()), u.AgentAddress())
	}
}

func (s *Server) addressOf(id gdconf.UpstreamID) (string, bool) {
	a, ok := s.addresses.get(uint64(id))
	return a.String(), ok
}

// appliedView is a view that both cores have.
type appliedView struct {
	view *gdconf.View
	// leaving means that the upstream gets no new work.
	leaving bool
}

// applyView passes a view to both cores, and only then to the requests: they see a view
// with all of its effects or not at all. It returns false if the server ends first.
func (s *Server) applyView(ctx context.Context, v *gdconf.View, stopping bool) bool {
	s.recordAddresses(v)
	mode := gdadmit.ModeOut
	if u, ok := v.Upstream(s.Self); ok {
		mode = modeOf(u, stopping)
	}
	ok := s.admitLoop.Call(ctx, func(now time.Time) []gdadmit.Action { return s.setAdmissionView(now, v, mode) }) &&
		s.dedupLoop.Call(ctx, func(now time.Time) []gddedup.Action { return s.dedup.SetView(now, v) })
	if ok {
		s.applied.Store(&appliedView{view: v, leaving: mode == gdadmit.ModeLeaving})
	}
	return ok
}

// setAdmissionView passes a view to the admission controller. It runs in the goroutine of
// admitLoop.
func (s *Server) setAdmissionView(now time.Time, v *gdconf.View, mode gdadmit.Mode) []gdadmit.Action {
	u, ok := v.Upstream(s.Self)
	if !ok {
		return s.admission.SetMode(now, mode)
	}
	var peers []gdconf.UpstreamID
	for _, p := range u.Service().Upstreams() {
		if p.ID() != s.Self && p.AcceptsNewFlows() {
			peers = append(peers, p.ID())
		}
	}
	s.admission.Selector.SetPeers(peers)
	var actions []gdadmit.Action
	if s.admission.Slots != u.Slots() {
		actions = s.admission.SetSlots(now, u.Slots())
	}
	return append(actions, s.admission.SetMode(now, mode)...)
}

func modeOf(u *gdconf.Upstream, stopping bool) gdadmit.Mode {
	switch {
	case u.DomainOut():
		return gdadmit.ModeOut
	case u.Leaving(), stopping:
		// Requests on the flows that a stopping agent still holds are relayed to
		// peers, like those of a leaving upstream.
		return gdadmit.ModeLeaving
	}
	return gdadmit.ModeServing
}

// Drain makes the server relay new requests to peers. Requests in progress continue.
func (s *Server) Drain() { s.stopping.Store(true) }

// updateBusy updates the value that AcceptsFlow returns. It runs in the goroutine of
// admitLoop.
func (s *Server) updateBusy(now time.Time) []gdadmit.Action {
	s.busy.Store(!s.admission.AcceptsFlow(now))
	s.logSlowStart(s.admission.Load(now).Limit())
	return nil
}

// logSlowStart logs when the limit falls to 1, as for a cold upstream, and when it has
// risen to all slots again.
func (s *Server) logSlowStart(limit int) {
	switch {
	case s.admission.Slots <= 1:
	case limit == 1 && s.warm:
		s.warm = false
		s.Log.Event(gdlog.UpstreamCold)
	case limit == s.admission.Slots && !s.warm:
		s.warm = true
		s.Log.Event(gdlog.UpstreamWarm)
	}
}

// AcceptsFlow reports whether this agent should accept a new flow, as of the last
// poll.
func (s *Server) AcceptsFlow() bool { return !s.busy.Load() }

// RefuseNew makes the server refuse new requests. Requests in progress continue.
func (s *Server) RefuseNew() { s.refusing.Store(true) }

// NonStreamsInProgress returns the number of requests in progress that are not open
// streams.
func (s *Server) NonStreamsInProgress() int { return int(s.inProgress.Load() - s.streams.Load()) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// deliverAdmission delivers an action to the request that waits for it.
func (s *Server) deliverAdmission(a gdadmit.Action) {
	ch, ok := s.waiting.pop(a.ID())
	if ok {
		ch <- a
	}
}

// admit passes the request to the admission controller and waits for its action. It
// reports false if the caller disconnected first or the controller's inbox is full.
func (s *Server) admit(ctx context.Context, r gdadmit.Request) (gdadmit.Action, bool) {
	ch := make(chan gdadmit.Action, 1)
	s.waiting.add(r.ID(), ch)
	if !s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action { return s.admission.Arrive(now, r) }) {
		s.waiting.remove(r.ID())
		return gdadmit.Action{}, false
	}
	select {
	case a := <-ch:
		return a, true
	case <-ctx.Done():
		return s.cancelAdmission(r.ID(), ch)
	}
}

// cancelAdmission cancels a waiting request. If the controller has already decided on
// it, cancelAdmission returns the action, so that the slot is released.
func (s *Server) cancelAdmission(id uint64, ch chan gdadmit.Action) (gdadmit.Action, bool) {
	// The caller's context has ended; the loop handles the event or has ended itself.
	s.admitLoop.Call(context.Background(), func(now time.Time) []gdadmit.Action { return s.admission.Cancel(now, id) })
	s.waiting.remove(id)
	select {
	case a := <-ch:
		return a, true
	default:
		return gdadmit.Action{}, false
	}
}
