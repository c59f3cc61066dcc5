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

// lookInterval is how often the admission core is told of a new configuration.
const lookInterval = 100 * time.Millisecond

// Peers is the port through which agents of one service reach each other, by
// the address of their control port.
type Peers interface {
	// Relay sends the request to a peer's agent and returns the response. It
	// reports whether the peer may have got the request.
	Relay(ctx context.Context, addr string, r *http.Request) (*http.Response, bool, error)
	// Ask asks a peer about a key.
	Query(ctx context.Context, addr string, q gddedup.Query) (gddedup.Reply, error)
	// Release gives the grant of a question back.
	Release(ctx context.Context, addr string, q gddedup.Query) error
	// Tell sends a notice about a key.
	Notify(ctx context.Context, addr string, n gddedup.Notice) error
	// ExchangeLoad tells a peer the own load and returns the peer's.
	ExchangeLoad(ctx context.Context, addr string, l gdpeer.Load) (gdpeer.PeerLoad, error)
}

// Server serves requests. Its exported fields are set before Run.
type Server struct {
	// Self is the upstream that the server guards.
	Self gdconf.UpstreamID
	// Config is the configuration in force.
	Config gdnode.ConfigSource
	// Target is the upstream's own address.
	Target *url.URL
	// Incarnation tells this process from earlier ones in its place.
	Incarnation uint32
	// Signer signs the keys that the system issues.
	Signer *gddedup.Signer
	// Peers is nil when nothing is relayed.
	Peers Peers
	// Rand is the random source of the decisions.
	Rand *rand.Rand
	// MaxKeyedBody bounds the body of a request with a key, in bytes. Zero means
	// DefaultMaxKeyedBody.
	MaxKeyedBody int64
	// HealthPath is the path of the upstream's health endpoint. An empty one is
	// not asked.
	HealthPath string
	// OnDecision is called with each decision on a request, if it is set.
	OnDecision func(Decision)
	// Log takes the events.
	Log gdlog.Logger

	start      sync.Once
	lastID     atomic.Uint64
	inProgress atomic.Int64
	stopping   atomic.Bool
	// ready says that the cores have had a configuration.
	ready atomic.Bool
	// leaving says that the upstream gets no new work. It is renewed by watch.
	leaving atomic.Bool
	// refusing says that no request is taken any more.
	refusing atomic.Bool
	// streams counts the open streams among the requests in progress.
	streams atomic.Int64
	// busy is renewed by watch.
	busy     atomic.Bool
	proxy    *proxy
	waiting  table[chan gdadmit.Action]
	attempts table[*attempt]
	// addresses remembers where each agent of the service was last known.
	addresses table[netip.AddrPort]

	// warm says whether the limit was last logged as warm. It belongs to the
	// duty's goroutine.
	warm   bool
	core   *gdadmit.DefaultController
	duty   *gdloop.Loop[gdadmit.Action]
	once   *gddedup.Core
	ledger *gdloop.Loop[gddedup.Action]
}

// Decision is the record of one decision on a request.
type Decision struct {
	// Request is the identifier that the caller got in HeaderRequest.
	Request string
	// Flow is the caller's address, or the address of the peer that relayed.
	Flow    string
	Service string
	Action  string
	Reason  string
	Peer    gdconf.UpstreamID
}

// init makes the parts that Run and the requests share; either may come first.
func (s *Server) init() { s.start.Do(s.build) }

func (s *Server) build() {
	if s.MaxKeyedBody == 0 {
		s.MaxKeyedBody = DefaultMaxKeyedBody
	}
	s.proxy = newProxy(s.Target)
	s.core = &gdadmit.DefaultController{
		Slots:    1,
		Limiter:  &gdadmit.AIMD{},
		Selector: &gdselector.Selector{Rand: s.Rand},
		Rand:     s.Rand,
	}
	s.duty = &gdloop.Loop[gdadmit.Action]{
		Tick:     s.core.Tick,
		NextTick: s.core.NextTick,
		Deliver:  s.deliver,
	}
	s.once = &gddedup.Core{Self: s.Self, Incarnation: s.Incarnation, Signer: s.Signer, Rand: s.Rand}
	s.ledger = &gdloop.Loop[gddedup.Action]{
		Tick:     s.once.Tick,
		NextTick: s.once.NextTick,
		Deliver:  s.deliverLedger,
	}
}

// Run serves until the context ends. Requests in progress go on.
func (s *Server) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	wg.Go(func() { s.watch(ctx) })
	wg.Go(func() { s.exchangeLoads(ctx) })
	wg.Go(func() { s.probe(ctx) })
	wg.Go(func() { s.ledger.Run(ctx) })
	s.duty.Run(ctx)
	wg.Wait()
}

// watch tells the core when the configuration or the server's state changes.
func (s *Server) watch(ctx context.Context) {
	t := time.NewTicker(lookInterval)
	defer t.Stop()
	var view *gdconf.View
	var stopping bool
	for {
		v, stop := s.Config.View(), s.stopping.Load()
		if v != nil && (v != view || stop != stopping) {
			view, stopping = v, stop
			s.remember(v)
			s.duty.Post(func(now time.Time) []gdadmit.Action { return s.apply(now, v, stop) })
			s.ledger.Post(func(now time.Time) []gddedup.Action {
				defer s.ready.Store(true)
				return s.once.SetView(now, v)
			})
		}
		s.duty.TryPost(s.noteBusy)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// remember notes the addresses of the service's agents. Those that leave the
// configuration are kept, because they may still know what became of a key.
func (s *Server) remember(v *gdconf.View) {
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

// apply takes a configuration over. It runs in the duty's goroutine.
func (s *Server) apply(now time.Time, v *gdconf.View, stopping bool) []gdadmit.Action {
	u, ok := v.Upstream(s.Self)
	if !ok {
		return s.core.SetMode(now, gdadmit.ModeOut)
	}
	var peers []gdconf.UpstreamID
	for _, p := range u.Service().Upstreams() {
		if p.ID() != s.Self && p.AcceptsNewFlows() {
			peers = append(peers, p.ID())
		}
	}
	s.core.Selector.SetPeers(peers)
	var actions []gdadmit.Action
	if s.core.Slots != u.Slots() {
		actions = s.core.SetSlots(now, u.Slots())
	}
	mode := modeOf(u, stopping)
	s.leaving.Store(mode == gdadmit.ModeLeaving)
	return append(actions, s.core.SetMode(now, mode)...)
}

func modeOf(u *gdconf.Upstream, stopping bool) gdadmit.Mode {
	switch {
	case u.DomainOut():
		return gdadmit.ModeOut
	case u.Leaving(), stopping:
		// The requests of the flows that a stopping agent still holds move to
		// peers, as those of a leaving upstream do.
		return gdadmit.ModeLeaving
	}
	return gdadmit.ModeServing
}

// Drain makes the server take no new work: new requests move to peers, and those
// in progress go on.
func (s *Server) Drain() { s.stopping.Store(true) }

// noteBusy renews what AcceptsFlow returns. It runs in the duty's goroutine.
func (s *Server) noteBusy(now time.Time) []gdadmit.Action {
	s.busy.Store(!s.core.AcceptsFlow(now))
	s.logWarmth(s.core.Load(now).Limit())
	return nil
}

// logWarmth logs when the limit falls to the one request of a cold upstream, and
// when it is back at all slots.
func (s *Server) logWarmth(limit int) {
	switch {
	case s.core.Slots <= 1:
	case limit == 1 && s.warm:
		s.warm = false
		s.Log.Event(gdlog.UpstreamCold)
	case limit == s.core.Slots && !s.warm:
		s.warm = true
		s.Log.Event(gdlog.UpstreamWarm)
	}
}

// AcceptsFlow reports whether a new flow should stay at this agent, as of the last
// look.
func (s *Server) AcceptsFlow() bool { return !s.busy.Load() }

// RefuseNew makes the server refuse each new request; those in progress go on.
func (s *Server) RefuseNew() { s.refusing.Store(true) }

// NonStreamsInProgress returns the number of requests in progress that are no open streams.
func (s *Server) NonStreamsInProgress() int { return int(s.inProgress.Load() - s.streams.Load()) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// deliver hands an action to the request that waits for it.
func (s *Server) deliver(a gdadmit.Action) {
	ch, ok := s.waiting.take(a.ID())
	if ok {
		ch <- a
	}
}

// admit asks the core and waits for its action. It reports false when the caller
// gave up first, or when the core can't take the request.
func (s *Server) admit(ctx context.Context, r gdadmit.Request) (gdadmit.Action, bool) {
	ch := make(chan gdadmit.Action, 1)
	s.waiting.add(r.ID(), ch)
	if !s.duty.TryPost(func(now time.Time) []gdadmit.Action { return s.core.Arrive(now, r) }) {
		s.waiting.remove(r.ID())
		return gdadmit.Action{}, false
	}
	select {
	case a := <-ch:
		return a, true
	case <-ctx.Done():
		return s.giveUp(r.ID(), ch)
	}
}

// giveUp cancels a waiting request. The core may have started it meanwhile: then
// the start is returned, so that the slot is given back.
func (s *Server) giveUp(id uint64, ch chan gdadmit.Action) (gdadmit.Action, bool) {
	done := make(chan struct{})
	s.duty.Post(func(now time.Time) []gdadmit.Action {
		defer close(done)
		return s.core.Cancel(now, id)
	})
	select {
	case <-done:
	case <-time.After(lookInterval): // the duty has ended
	}
	s.waiting.remove(id)
	select {
	case a := <-ch:
		return a, true
	default:
		return gdadmit.Action{}, false
	}
}
