package gdtrace

import (
	"godwitdrift.example/godwitdrift/internal/core/gdadmit"
	"godwitdrift.example/godwitdrift/internal/core/gddedup"
	"godwitdrift.example/godwitdrift/internal/core/gdroute"
)

// RouteOutcomes returns the record of a decision on a packet.
func RouteOutcomes(d gdroute.Decision) []Outcome {
	o := Outcome{Action: d.Verdict().String(), Reason: d.Reason().String()}
	if u := d.Upstream(); u != nil {
		o.Upstream = u.ID()
	}
	return []Outcome{o}
}

// AdmitOutcomes returns the record of the admission core's actions.
func AdmitOutcomes(actions ...gdadmit.Action) []Outcome {
	var out []Outcome
	for _, a := range actions {
		o := Outcome{Action: a.Kind().String(), Request: a.ID(), Upstream: a.Peer(), RetryAfter: a.RetryAfter()}
		if a.Kind() != gdadmit.KindStart {
			o.Reason = a.Reason().String()
			o.Uncertain = !a.NotRun()
		}
		out = append(out, o)
	}
	return out
}

// OnceOutcomes returns the record of the at-most-once core's actions.
func OnceOutcomes(actions []gddedup.Action) []Outcome {
	var out []Outcome
	for _, a := range actions {
		o := onceOutcome(a)
		o.Request = a.RequestID()
		out = append(out, o)
	}
	return out
}

func onceOutcome(a gddedup.Action) Outcome {
	switch a := a.(type) {
	case gddedup.Run:
		return Outcome{Action: "run"}
	case gddedup.Relay:
		return Outcome{Action: "relay", Upstream: a.Home}
	case gddedup.Ask:
		return Outcome{Action: "ask", Upstream: a.Peer}
	case gddedup.Release:
		return Outcome{Action: "release", Upstream: a.Peer}
	case gddedup.Tell:
		return Outcome{Action: "tell", Upstream: a.Peer}
	case gddedup.Wait:
		return Outcome{Action: "wait"}
	case gddedup.AnswerDone:
		return Outcome{Action: "done", Status: a.Answer.Status}
	case gddedup.AnswerNotRun:
		return Outcome{Action: "not-run", Reason: string(a.Reason), RetryAfter: a.RetryAfter, Key: a.Offer.String()}
	case gddedup.AnswerUnknown:
		return Outcome{Action: "unknown", Reason: string(a.Reason)}
	case gddedup.AnswerConflict:
		return Outcome{Action: "conflict"}
	}
	return Outcome{Action: "unnamed"}
}

// verdicts are the names of the answers to a question.
var verdicts = map[gddedup.Verdict]string{
	gddedup.PeerFailed: "peer-failed",
	gddedup.Granted:    "granted",
	gddedup.Taken:      "taken",
	gddedup.Busy:       "busy",
	gddedup.Done:       "done",
	gddedup.Closed:     "closed",
	gddedup.Lost:       "lost",
	gddedup.Mismatch:   "mismatch",
	gddedup.Refused:    "refused",
}

// AnswerOutcomes returns the record of an answer to a peer's question.
func AnswerOutcomes(a gddedup.Answer) []Outcome {
	return []Outcome{{Action: "answer", Reason: verdicts[a.Verdict], Status: a.Stored.Status}}
}
