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
	// probeInterval is how often the health endpoint is asked.
	probeInterval = time.Second
	// probeTimeout bounds one question.
	probeTimeout = 500 * time.Millisecond
	// maxProbeBody bounds what is read of the answer, in bytes.
	maxProbeBody = 4 << 10
)

// probe tells the admission core what the health endpoint says. It is a hint:
// outcomes of requests outrank it.
func (s *Server) probe(ctx context.Context) {
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
		healthy, err := s.askHealth(ctx)
		s.duty.TryPost(func(now time.Time) []gdadmit.Action {
			s.core.ObserveProbe(now, healthy)
			return nil
		})
		if up := err == nil; up != reachable && ctx.Err() == nil {
			reachable = up
			s.logReach(err)
		}
	}
}

func (s *Server) logReach(err error) {
	if err != nil {
		s.Log.Failure(gdlog.UpstreamUnreachable, err)
		return
	}
	s.Log.Event(gdlog.UpstreamReachable)
}

func (s *Server) askHealth(ctx context.Context) (bool, error) {
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
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody)) // so that the connection is used again
	return res.StatusCode < http.StatusMultipleChoices, nil
}
