package runner

import (
	"gentianwell/core/retry"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// mayTryAgain reports whether another attempt follows, after n.pause.
func (n *run) mayTryAgain(e attemptEnd) bool {
	if e.callerGone() || !n.wantsAgain(e) {
		return false
	}
	d := n.r.c.Retry.Decide(n.r.c.Now(), n.retryAttempt(e))
	n.pause = d.Wait
	n.again = d.Reason
	return d.Action == retry.ActionRetry
}

// wantsAgain reports whether another attempt could do better.
func (n *run) wantsAgain(e attemptEnd) bool {
	if n.continues(e) {
		return e.next.Action.Again()
	}
	return e.failed()
}

// continues reports whether another attempt would continue an answer of which
// there is a part, whether the caller has it or not.
func (n *run) continues(e attemptEnd) bool { return n.started || e.next.Action == stream.ActionResume }

func (n *run) retryAttempt(e attemptEnd) retry.Attempt {
	a := retry.Attempt{
		Class: n.job.Call.Class, Idempotent: n.job.Call.Idempotent, Deadline: n.job.Call.Deadline,
		Number: n.attempts, Outcome: n.outcome(), Cause: retryCause(e), BytesWritten: e.result.BytesWritten,
	}
	if n.continues(e) {
		// The guard has found that the answer can be continued.
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
