package runner

import (
	"gentianwell/core/retry"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// shouldRetry reports whether another attempt follows, after n.retryPause.
func (n *run) shouldRetry(e attemptEnd) bool {
	if e.callerGone() || !n.retryCanHelp(e) {
		return false
	}
	if n.takeover.ready() && e.result.Ending == back.EndingSilent {
		n.retryReason = retry.ReasonIdempotent
		return true
	}
	n.takeover.release()
	d := n.r.c.Retry.Decide(n.r.c.Now(), n.retryAttempt(e))
	n.retryPause = d.Wait
	n.retryReason = d.Reason
	return d.Action == retry.ActionRetry
}

// retryCanHelp reports whether another attempt could succeed.
func (n *run) retryCanHelp(e attemptEnd) bool {
	if n.resumesAnswer(e) {
		return e.decision.Action.Again()
	}
	return e.failed()
}

// resumesAnswer reports whether another attempt would continue a partial answer,
// whether or not a part of it was sent to the caller.
func (n *run) resumesAnswer(e attemptEnd) bool {
	return n.started || e.decision.Action == stream.ActionResume
}

// retryAttempt describes the failed attempt to core/retry.
func (n *run) retryAttempt(e attemptEnd) retry.Attempt {
	a := retry.Attempt{
		Class: n.job.Call.Class, Idempotent: n.job.Call.Idempotent, Deadline: n.job.Call.Deadline,
		Number: n.attempts, Outcome: n.outcome(), Cause: retryCause(e), BytesWritten: e.result.BytesWritten,
	}
	if n.resumesAnswer(e) {
		// core/stream has decided that the answer can be continued.
		a.Idempotent = true
	}
	return a
}

func retryCause(e attemptEnd) retry.Cause {
	switch e.result.Ending {
	case back.EndingUnreachable:
		return retry.CauseUnreachable
	case back.EndingRefused:
		return retry.CauseBusy
	case back.EndingCrashed:
		return retry.CauseCrashed
	case back.EndingSilent:
		return retry.CauseSilent
	}
	return retry.CauseFailed
}
