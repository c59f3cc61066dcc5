package gdrequest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gdspread"
	"godwitdrift.example/godwitdrift/internal/process/gdduty"
	"godwitdrift.example/godwitdrift/internal/process/gdnode"
)

// lookInterval is how often the admission core is told of a new configuration.
const lookInterval = 100 * time.Millisecond

// Peers is the port through which agents of one service reach each other.
type Peers interface {
	// Relay sends the request to a peer's agent and returns the response. It
	// reports whether the peer may have got the request.
	Relay(ctx context.Context, to *gdconf.Upstream, r *http.Request) (*http.Response, bool, error)
}

// Server serves requests. Its exported fields are set before Run.
type Server struct {
	// Self is the upstream that the server guards.
	Self gdconf.UpstreamID
	// Config is the configuration in force.
	Config gdnode.Config
	// Target is the upstream's own address.
	Target *url.URL
	// Peers is nil when nothing is relayed.
	Peers Peers
	// Rand is the random source of the decisions.
	Rand *rand.Rand
	// Decided is called with each decision on a request, if it is set.
	Decided func(Decision)

	once       sync.Once
	lastID     atomic.Uint64
	inProgress atomic.Int64
	stopping   atomic.Bool
	proxy      *proxy
	core       *gdadmit.Core
	duty       *gdduty.Duty[gdadmit.Action]

	mu      sync.Mutex
	waiting map[uint64]chan gdadmit.Action
}

// Decision is the record of one decision on a request.
type Decision struct {
	Request uint64
	Path    string
	Action  string
	Reason  string
	Peer    gdconf.UpstreamID
}

// init makes the parts that Run and the requests share; either may come first.
func (s *Server) init() { s.once.Do(s.build) }

func (s *Server) build() {
	s.proxy = newProxy(s.Target)
	s.waiting = make(map[uint64]chan gdadmit.Action)
	s.core = &gdadmit.Core{
		Slots:  1,
		Limit:  &gdadmit.AIMD{},
		Spread: &gdspread.Core{Rand: s.Rand},
		Rand:   s.Rand,
	}
	s.duty = &gdduty.Duty[gdadmit.Action]{
		Tick:     s.core.Tick,
		NextTick: s.core.NextTick,
		Deliver:  s.deliver,
	}
}

// Run serves until the context ends. Requests in progress go on.
func (s *Server) Run(ctx context.Context) {
	s.init()
	go s.watch(ctx)
	s.duty.Run(ctx)
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
			s.duty.Post(func(now time.Time) []gdadmit.Action { return s.apply(now, v, stop) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// apply takes a configuration over. It runs in the duty's goroutine.
func (s *Server) apply(now time.Time, v *gdconf.View, stopping bool) []gdadmit.Action {
	u, ok := v.Upstream(s.Self)
	if !ok {
		return s.core.SetMode(now, gdadmit.ModeOut)
	}
	var peers []gdconf.UpstreamID
	for _, p := range u.Service().Upstreams() {
		if p.ID() != s.Self && p.TakesNew() {
			peers = append(peers, p.ID())
		}
	}
	s.core.Spread.SetPeers(peers)
	var actions []gdadmit.Action
	if s.core.Slots != u.Slots() {
		actions = s.core.SetSlots(now, u.Slots())
	}
	return append(actions, s.core.SetMode(now, modeOf(u, stopping))...)
}

func modeOf(u *gdconf.Upstream, stopping bool) gdadmit.Mode {
	switch {
	case u.DomainOut():
		return gdadmit.ModeOut
	case stopping:
		return gdadmit.ModeStopping
	case u.Leaving():
		return gdadmit.ModeLeaving
	}
	return gdadmit.ModeServing
}

// Stop makes the server refuse new requests; those in progress go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// Load returns the upstream's load, for the peers. It waits for the core.
func (s *Server) Load(ctx context.Context) (gdadmit.Load, bool) {
	got := make(chan gdadmit.Load, 1)
	ok := s.duty.Offer(func(now time.Time) []gdadmit.Action {
		got <- s.core.Load(now)
		return nil
	})
	if !ok {
		return gdadmit.Load{}, false
	}
	select {
	case l := <-got:
		return l, true
	case <-ctx.Done():
		return gdadmit.Load{}, false
	}
}

// PeerLoad notes the load that a peer reported.
func (s *Server) PeerLoad(id gdconf.UpstreamID, l gdadmit.Load) {
	s.duty.Offer(func(now time.Time) []gdadmit.Action {
		s.core.PeerLoad(now, id, l)
		return nil
	})
}

// deliver hands an action to the request that waits for it.
func (s *Server) deliver(a gdadmit.Action) {
	s.mu.Lock()
	ch := s.waiting[a.ID()]
	delete(s.waiting, a.ID())
	s.mu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// admit asks the core and waits for its action. It reports false when the caller
// gave up first, or when the core can't take the request.
func (s *Server) admit(ctx context.Context, r gdadmit.Request) (gdadmit.Action, bool) {
	ch := make(chan gdadmit.Action, 1)
	s.mu.Lock()
	s.waiting[r.ID()] = ch
	s.mu.Unlock()
	if !s.duty.Offer(func(now time.Time) []gdadmit.Action { return s.core.Arrive(now, r) }) {
		s.forget(r.ID())
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
	s.forget(id)
	select {
	case a := <-ch:
		return a, true
	default:
		return gdadmit.Action{}, false
	}
}

func (s *Server) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}
