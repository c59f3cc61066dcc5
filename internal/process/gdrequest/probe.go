package gdrequest

import (
	"context"
	"io"
	"net/http"
	"time"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/operate/gdlog"
)

const (
	// probeInterval is the time between two health checks.
	probeInterval = time.Second
	// probeTimeout bounds one health check.
	probeTimeout = 500 * time.Millisecond
	// maxProbeBody is the number of bytes that are read from a response.
	maxProbeBody = 4 << 10
)

// probeHealth reports the results of health checks to the admission controller. They
// are hints: outcomes of requests take precedence.
func (s *Server) probeHealth(ctx context.Context) {
	if s.HealthPath == "" {
		return
	}
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	reachable := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		healthy, err := s.checkHealth(ctx)
		s.admitLoop.TryPost(func(now time.Time) []gdadmit.Action {
			s.admission.ObserveProbe(now, healthy)
			return nil
		})
		if up := err == nil; up != reachable && ctx.Err() == nil {
			reachable = up
			s.logReachability(err)
		}
	}
}

func (s *Server) logReachability(err error) {
	if err != nil {
		s.Log.Failure(gdlog.UpstreamUnreachable, err)
		return
	}
	s.Log.Event(gdlog.UpstreamReachable)
}

func (s *Server) checkHealth(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Target.JoinPath(s.HealthPath).String(), http.NoBody)
	if err != nil {
		return false, err
	}
	res, err := s.proxy.transport.RoundTrip(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody)) // allows reuse of the connection
	return res.StatusCode < http.StatusMultipleChoices, nil
}
