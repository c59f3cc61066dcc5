package gdrequest

import (
	"context"
	"io"
	"net/http"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

// runKeyed runs the request and reports its outcome to the deduplication core. No
// other agent may run the key, so the request is admitted here or refused: setting
// the maximum number of hops prevents a relay.
func (s *Server) runKeyed(ctx context.Context, at *attempt) {
	r := gdadmit.NewRequest(at.id, at.priority, at.deadline, gdadmit.Relayed(gdselector.DefaultMaxHops))
	a, ok := s.admit(ctx, r)
	if !ok {
		s.postRunOutcome(at.id, gddedup.Outcome{Result: gddedup.ResultNotRun, RetryAfter: notReadyRetry})
		return
	}
	s.recordDecision(at.request, a.Kind().String(), a.Reason().String(), 0)
	if a.Kind() != gdadmit.KindStart {
		s.postRunOutcome(at.id, gddedup.Outcome{Result: gddedup.ResultNotRun, RetryAfter: a.RetryAfter()})
		return
	}
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyedRunTimeout)
	defer cancel()
	rep := s.proxy.sendBuffered(runCtx, at.request, at.body)
	out, outcome := s.keyedOutcome(at, rep)
	s.finish(at.id, out)
	s.postRunOutcome(at.id, outcome)
}

// keyedOutcome reads the whole response and returns the outcomes of the run for the
// admission controller and the deduplication core.
func (s *Server) keyedOutcome(at *attempt, rep reply) (gdadmit.Outcome, gddedup.Outcome) {
	if rep.err != nil {
		return rep.outcome, failedRun(rep.outcome.MayHaveStarted())
	}
	defer rep.response.Body.Close()
	if isShed(rep.response) {
		return rep.outcome, failedRun(false)
	}
	body, err := io.ReadAll(io.LimitReader(rep.response.Body, maxKeyedResponseBytes+1))
	if err != nil || len(body) > maxKeyedResponseBytes {
		return gdadmit.NewOutcome(gdadmit.OutcomeFailed, 0, true), failedRun(true)
	}
	st := gddedup.StoredResponse{Status: rep.response.StatusCode, Headers: storedHeaders(rep.response.Header), Body: body}
	if len(body) > gddedup.MaxBodyBytes {
		at.fullBody = body
		st.Body, st.BodyOmitted = nil, true
	}
	return rep.outcome, gddedup.Outcome{Result: gddedup.ResultDone, Response: st}
}

func failedRun(mayHaveStarted bool) gddedup.Outcome {
	if mayHaveStarted {
		return gddedup.Outcome{Result: gddedup.ResultUnknown}
	}
	return gddedup.Outcome{Result: gddedup.ResultNotRun, RetryAfter: notReadyRetry}
}

// storedHeaders returns the headers to store for later attempts.
func storedHeaders(h http.Header) []gddedup.Header {
	removeHopHeaders(h)
	var out []gddedup.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, gddedup.Header{Name: name, Value: v})
		}
	}
	return out
}

// writeStored writes the response of a run. If its body was too large to store,
// fullBody holds it for the attempt that ran, and is nil for later attempts.
func writeStored(w http.ResponseWriter, st gddedup.StoredResponse, fullBody []byte) {
	for _, h := range st.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	body := st.Body
	if st.BodyOmitted {
		body = fullBody
		if fullBody == nil {
			w.Header().Del("Content-Length")
			w.Header().Set(HeaderReason, reasonOmitted)
		}
	}
	w.WriteHeader(st.Status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}
