package claim

import "gentianwell/core/call"

// Kind is what becomes of a request.
type Kind string

// The kinds of verdict.
const (
	// KindRun means that this VM holds the claim and may send the call.
	KindRun Kind = "run"
	// KindReplay means that the call was run before; Outcome is the answer.
	KindReplay Kind = "replay"
	// KindInProgress means that the call may be running or may have been run.
	KindInProgress Kind = "inProgress"
	// KindConflict means that the key was used with another body. This body was
	// not run.
	KindConflict Kind = "conflict"
	// KindRefused means that no claim could be had: not run, to be tried later.
	KindRefused Kind = "refused"
	// KindPassOn means that no claim could be had, and that the call is sent with
	// its key to a service that removes duplicates itself.
	KindPassOn Kind = "passOn"
)

// Verdict is the decision on a request, with its reason for the log.
type Verdict struct {
	Kind    Kind
	Reason  string
	Outcome Outcome
}

// CallerOutcome returns what the caller may be told before anything else happens. For
// KindRun and KindPassOn that depends on the run, hence unknown.
func (v Verdict) CallerOutcome() call.Outcome {
	switch v.Kind {
	case KindConflict, KindRefused:
		return call.OutcomeNotRun
	case KindReplay:
		return call.OutcomeRan
	default:
		return call.OutcomeUnknown
	}
}

// judge returns what a reader concludes from another attempt's record.
func judge(req Request, r Record) Verdict {
	switch {
	case r.Fingerprint != req.Fingerprint:
		return Verdict{Kind: KindConflict, Reason: "key used with another body by " + r.Attempt}
	case r.State == StateFinished:
		return Verdict{Kind: KindReplay, Reason: "finished by " + r.Attempt, Outcome: *r.Outcome}
	default:
		return Verdict{Kind: KindInProgress, Reason: "claimed by " + r.Attempt + " on " + string(r.VM)}
	}
}
