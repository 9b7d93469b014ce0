package retry

import (
	"time"

	"gentianwell/core/call"
)

// Cause is the reason why an attempt failed.
type Cause string

// The causes of failure.
const (
	// CauseUnreachable means that no connection could be made.
	CauseUnreachable Cause = "unreachable"
	// CauseBusy means that the replica refused the call and guarantees that it
	// has not run it.
	CauseBusy    Cause = "busy"
	CauseFailed  Cause = "failed"
	CauseCrashed Cause = "crashed"
	// CauseSilent means that there was no progress within the timeout.
	CauseSilent Cause = "silent"
	// CauseRejected means that the request itself is invalid.
	CauseRejected Cause = "rejected"
	// CauseCanceled means that the caller disconnected or the run was stopped.
	CauseCanceled Cause = "canceled"
)

// Attempt is a failed attempt of a call.
type Attempt struct {
	Class      call.Class
	Idempotent bool
	// Deadline is the deadline of the call; zero means none.
	Deadline time.Time
	// Number is 1 for the first attempt.
	Number int
	// MaxAttempts overrides Config.MaxAttempts for this call if it is not zero.
	MaxAttempts int
	Outcome     call.Outcome
	Cause       Cause
	// BytesWritten is true if any byte was written to the connection.
	BytesWritten bool
	// Delivered is true if part of the answer has reached the caller and another
	// replica cannot continue it.
	Delivered bool
}

// surelyNotRun reports whether the attempt cannot have run: its outcome is
// OutcomeNotRun, and either nothing was written or the replica refused it as busy.
func (a Attempt) surelyNotRun() bool {
	return a.Outcome == call.OutcomeNotRun && (!a.BytesWritten || a.Cause == CauseBusy)
}
