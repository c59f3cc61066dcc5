package gdrequest

import (
	"context"
	"io"
	"net/http"

	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdselector"
)

// runKeyed runs the request and tells the ledger how it ended. Only its home may
// run it, so it is admitted here or refused: it counts as relayed as often as it
// may be.
func (s *Server) runKeyed(ctx context.Context, at *attempt) {
	r := gdadmit.NewRequest(at.id, at.priority, at.deadline, gdadmit.Relayed(gdselector.DefaultMaxHops))
	a, ok := s.admit(ctx, r)
	if !ok {
		s.ended(at.id, gddedup.Outcome{Result: gddedup.ResultNotRun, RetryAfter: notReadyRetry})
		return
	}
	s.note(at.request, a.Kind().String(), a.Reason().String(), 0)
	if a.Kind() != gdadmit.KindStart {
		s.ended(at.id, gddedup.Outcome{Result: gddedup.ResultNotRun, RetryAfter: a.RetryAfter()})
		return
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyedLimit)
	defer cancel()
	rep := s.proxy.sendWhole(run, at.request, at.body)
	out, outcome := s.keyedOutcome(at, rep)
	s.finish(at.id, out)
	s.ended(at.id, outcome)
}

// keyedOutcome reads the whole answer and says how the run ended.
func (s *Server) keyedOutcome(at *attempt, rep reply) (gdadmit.Outcome, gddedup.Outcome) {
	if rep.err != nil {
		return rep.outcome, failedRun(rep.outcome.MayHaveStarted())
	}
	defer rep.response.Body.Close()
	if isShed(rep.response) {
		return rep.outcome, failedRun(false)
	}
	body, err := io.ReadAll(io.LimitReader(rep.response.Body, maxKeyedAnswer+1))
	if err != nil || len(body) > maxKeyedAnswer {
		return gdadmit.NewOutcome(gdadmit.OutcomeFailed, 0, true), failedRun(true)
	}
	st := gddedup.StoredResponse{Status: rep.response.StatusCode, Headers: storedHeaders(rep.response.Header), Body: body}
	if len(body) > gddedup.MaxBodyBytes {
		at.whole = body
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

// storedHeaders returns the headers that later attempts get as well.
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

// writeStored answers with a run's answer. Whole is set at the attempt that ran
// and had a large answer.
func writeStored(w http.ResponseWriter, st gddedup.StoredResponse, whole []byte) {
	for _, h := range st.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	body := st.Body
	if st.BodyOmitted {
		body = whole
		if whole == nil {
			w.Header().Del("Content-Length")
			w.Header().Set(HeaderReason, reasonOmitted)
		}
	}
	w.WriteHeader(st.Status)
	_, _ = w.Write(body) // the caller is gone if this fails
}
