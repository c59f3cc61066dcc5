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

// AdmissionOutcomes returns the record of the admission core's actions.
func AdmissionOutcomes(actions ...gdadmit.Action) []Outcome {
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

// DedupOutcomes returns the record of the deduplication core's actions.
func DedupOutcomes(actions []gddedup.Action) []Outcome {
	var out []Outcome
	for _, a := range actions {
		o := dedupOutcome(a)
		o.Request = a.RequestID()
		out = append(out, o)
	}
	return out
}

func dedupOutcome(a gddedup.Action) Outcome {
	switch a := a.(type) {
	case gddedup.Run:
		return Outcome{Action: "run"}
	case gddedup.Relay:
		return Outcome{Action: "relay", Upstream: a.Home}
	case gddedup.SendQuery:
		return Outcome{Action: "ask", Upstream: a.Peer}
	case gddedup.SendRelease:
		return Outcome{Action: "release", Upstream: a.Peer}
	case gddedup.SendNotice:
		return Outcome{Action: "tell", Upstream: a.Peer}
	case gddedup.Wait:
		return Outcome{Action: "wait"}
	case gddedup.RespondDone:
		return Outcome{Action: "done", Status: a.Response.Status}
	case gddedup.RespondNotRun:
		return Outcome{Action: "not-run", Reason: string(a.Reason), RetryAfter: a.RetryAfter, Key: a.NextKey.String()}
	case gddedup.RespondUnknown:
		return Outcome{Action: "unknown", Reason: string(a.Reason)}
	case gddedup.RespondConflict:
		return Outcome{Action: "conflict"}
	}
	return Outcome{Action: "unnamed"}
}

// verdicts are the names of the verdicts of replies.
var verdicts = map[gddedup.Verdict]string{
	gddedup.PeerFailed:     "peer-failed",
	gddedup.Granted:        "granted",
	gddedup.Taken:          "taken",
	gddedup.Running:        "busy",
	gddedup.Done:           "done",
	gddedup.Closed:         "closed",
	gddedup.OutcomeUnknown: "lost",
	gddedup.Mismatch:       "mismatch",
	gddedup.Refused:        "refused",
}

// ReplyOutcomes returns the record of a reply to a peer's query.
func ReplyOutcomes(a gddedup.Reply) []Outcome {
	return []Outcome{{Action: "answer", Reason: verdicts[a.Verdict], Status: a.Response.Status}}
}
