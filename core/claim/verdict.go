package claim

import "gentianwell/core/call"

// Kind is the kind of a Verdict: how the request is handled.
type Kind string

// The kinds of verdict.
const (
	// KindRun means that this VM holds the claim and may send the call.
	KindRun Kind = "run"
	// KindReplay means that the call was run before; Outcome is its response.
	KindReplay Kind = "replay"
	// KindInProgress means that the call may be running or may have been run.
	KindInProgress Kind = "inProgress"
	// KindConflict means that the key was used with a different body. The call
	// with this body was not run.
	KindConflict Kind = "conflict"
	// KindRefused means that the claim could not be made. The call was not run
	// and may be retried later.
	KindRefused Kind = "refused"
	// KindPassOn means that the claim could not be made, and that the call is
	// sent with its key to a service that removes duplicates itself.
	KindPassOn Kind = "passOn"
)

// Verdict is the decision on a request, with its reason for the log.
type Verdict struct {
	Kind    Kind
	Reason  string
	Outcome Outcome
}

// CallerOutcome returns the outcome that can be reported to the caller at once.
// For KindRun and KindPassOn it depends on the run and is unknown.
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

// verdictFor returns the verdict on req, given the record of another attempt.
func verdictFor(req Request, r Record) Verdict {
	switch {
	case r.Fingerprint != req.Fingerprint:
		return Verdict{Kind: KindConflict, Reason: "key already used with a different body by request " + r.Attempt}
	case r.State == StateFinished:
		return Verdict{Kind: KindReplay, Reason: "already finished by request " + r.Attempt, Outcome: *r.Outcome}
	default:
		return Verdict{Kind: KindInProgress, Reason: "claimed by request " + r.Attempt + " on VM " + string(r.VM)}
	}
}
