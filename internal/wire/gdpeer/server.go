package gdpeer

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"godwitdrift.example/godwitdrift/internal/core/gdconf"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdsync"
	"godwitdrift.example/godwitdrift/internal/wire/gdpeerpb"
)

const (
	// maxRequestBytes limits the body of a request.
	maxRequestBytes = 4 << 20
	// maxStreams limits the concurrent calls of one connection.
	maxStreams = 64
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// closeTimeout is the time that calls in progress get to finish when serving ends.
	closeTimeout = 2 * time.Second
)

// ConfigHandler handles the configuration messages of peers.
type ConfigHandler interface {
	HandleUpdate(from string, u gdsync.Update)
	ObservePeerVersion(from string, v gdconf.Version)
	HandleDigest(from gdsync.Member, v gdconf.Version)
	HandleLease(from string, l gdsync.Lease)
	// UpdateSince returns the update from the given version to the current one. It
	// returns false if there is no newer version.
	UpdateSince(ctx context.Context, have gdconf.Version) (gdsync.Update, bool, error)
	// Version returns the active configuration version of this process.
	Version() gdconf.Version
}

// LoadHandler handles the load reports of peers.
type LoadHandler interface {
	// ExchangeLoad records a peer's load and returns the load of this process's
	// upstream.
	ExchangeLoad(from Sender, peer Load) Load
}

// QueryHandler handles the messages of peers about the keys of requests that run at most
// once.
type QueryHandler interface {
	HandleQuery(ctx context.Context, q gddedup.Query) (gddedup.Reply, error)
	// HandleRelease releases the grant of a query. It does not block.
	HandleRelease(q gddedup.Query)
	// HandleNotice records a notice. It does not block.
	HandleNotice(n gddedup.Notice)
}

// Server serves the peers of one process. Set the exported fields before Serve.
type Server struct {
	Identity    *Identity
	Incarnation uint64
	Config      ConfigHandler
	// Loads and Queries may be nil. The server then refuses the respective calls.
	Loads   LoadHandler
	Queries QueryHandler
	// Handlers contains additional handlers by path pattern, as in http.ServeMux.
	Handlers map[string]http.Handler

	refused atomic.Int64
}

// Refused returns the number of peers that did not hold the fleet key.
func (s *Server) Refused() int64 { return s.refused.Load() }

// Handler returns the HTTP handler of the service and of the additional handlers. It
// does not authenticate peers; Serve does.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	rpc := gdpeerpb.NewPeerServer(&service{server: s})
	mux.Handle(rpc.PathPrefix(), http.MaxBytesHandler(rpc, maxRequestBytes))
	for pattern, h := range s.Handlers {
		mux.Handle(pattern, h)
	}
	return mux
}

// Serve serves peers on the TCP listener until the context is cancelled. Calls in
// progress then have a limited time to finish.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	srv := &http.Server{
		Handler:           s.Handler(),
		TLSConfig:         s.Identity.serverConfig(&s.refused),
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(discard{}, "", 0), // refused handshakes are counted instead
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := srv.Shutdown(shutdownCtx); err != nil {
			_ = srv.Close()
		}
	})
	err := srv.ServeTLS(l, "", "")
	if !stop() {
		<-closed
		return nil
	}
	return errors.Wrapf(err, "serve peers on %s", l.Addr())
}

// discard discards the log output of the HTTP server.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// service implements the generated service interface.
type service struct{ server *Server }

// Push implements the generated service.
func (s *service) Push(_ context.Context, r *gdpeerpb.PushRequest) (*gdpeerpb.PushResponse, error) {
	u, err := gdsync.Decode(r.GetUpdate())
	if err != nil {
		return nil, twirp.InvalidArgumentError("update", err.Error())
	}
	s.server.Config.HandleUpdate(r.GetSender().GetName(), u)
	return &gdpeerpb.PushResponse{}, nil
}

// Digest implements the generated service.
func (s *service) Digest(_ context.Context, r *gdpeerpb.DigestRequest) (*gdpeerpb.DigestResponse, error) {
	from := toSender(r.GetSender())
	peer := gdsync.NewMember(from.name, r.GetSender().GetAddress())
	s.server.Config.HandleDigest(peer, from.version)
	return &gdpeerpb.DigestResponse{Version: fromVersion(s.server.Config.Version())}, nil
}

// Announce implements the generated service.
func (s *service) Announce(_ context.Context, r *gdpeerpb.AnnounceRequest) (*gdpeerpb.AnnounceResponse, error) {
	s.server.Config.HandleLease(r.GetSender().GetName(), gdsync.Lease{
		Revision: r.GetRevision(), Fingerprint: r.GetFingerprint(),
		Reader: r.GetReader(), Sequence: r.GetSequence(),
	})
	return &gdpeerpb.AnnounceResponse{}, nil
}

// Fetch implements the generated service.
func (s *service) Fetch(ctx context.Context, r *gdpeerpb.FetchRequest) (*gdpeerpb.FetchResponse, error) {
	u, ok, err := s.server.Config.UpdateSince(ctx, toVersion(r.GetHave()))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if !ok {
		return &gdpeerpb.FetchResponse{}, nil
	}
	data, err := gdsync.Encode(u)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &gdpeerpb.FetchResponse{Update: data}, nil
}

// ExchangeLoad implements the generated service.
func (s *service) ExchangeLoad(_ context.Context, r *gdpeerpb.ExchangeLoadRequest) (*gdpeerpb.ExchangeLoadResponse, error) {
	if s.server.Loads == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process has no upstream")
	}
	from := s.sender(r.GetSender())
	l := s.server.Loads.ExchangeLoad(from, toLoad(r.GetLoad()))
	return &gdpeerpb.ExchangeLoadResponse{
		Load: fromLoad(l), Incarnation: s.server.Incarnation,
		Version: fromVersion(s.server.Config.Version()),
	}, nil
}

// Ask implements the generated service.
func (s *service) Ask(ctx context.Context, r *gdpeerpb.AskRequest) (*gdpeerpb.AskResponse, error) {
	if s.server.Queries == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process keeps no outcomes")
	}
	var q gddedup.Query
	if err := cbor.Unmarshal(r.GetQuestion(), &q); err != nil {
		return nil, twirp.InvalidArgumentError("question", err.Error())
	}
	s.sender(r.GetSender())
	a, err := s.server.Queries.HandleQuery(ctx, q)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &gdpeerpb.AskResponse{Answer: data, Incarnation: s.server.Incarnation}, nil
}

// Notify implements the generated service.
func (s *service) Notify(_ context.Context, r *gdpeerpb.NotifyRequest) (*gdpeerpb.NotifyResponse, error) {
	if s.server.Queries == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this process keeps no outcomes")
	}
	s.sender(r.GetSender())
	if data := r.GetReleased(); len(data) > 0 {
		var q gddedup.Query
		if err := cbor.Unmarshal(data, &q); err != nil {
			return nil, twirp.InvalidArgumentError("released", err.Error())
		}
		s.server.Queries.HandleRelease(q)
	}
	if data := r.GetNotice(); len(data) > 0 {
		var n gddedup.Notice
		if err := cbor.Unmarshal(data, &n); err != nil {
			return nil, twirp.InvalidArgumentError("notice", err.Error())
		}
		s.server.Queries.HandleNotice(n)
	}
	return &gdpeerpb.NotifyResponse{}, nil
}

// sender returns the sender after passing its version to the configuration handler.
func (s *service) sender(p *gdpeerpb.Sender) Sender {
	from := toSender(p)
	s.server.Config.ObservePeerVersion(from.name, from.version)
	return from
}
