package retry

import (
	"time"

	"gentianwell/core/call"
)

// Cause is why an attempt failed.
type Cause string

// The causes. CauseUnreachable: no connection. CauseBusy: the replica refused
// before running, by contract. CauseRejected: the request itself is at fault.
// CauseSilent: no progress within the time allowed. CauseCanceled: the caller
// went away or the run was stopped.
const (
	CauseUnreachable Cause = "unreachable"
	CauseBusy        Cause = "busy"
	CauseFailed      Cause = "failed"
	CauseCrashed     Cause = "crashed"
	CauseSilent      Cause = "silent"
	CauseRejected    Cause = "rejected"
	CauseCanceled    Cause = "canceled"
)

// Attempt is an attempt that failed.
type Attempt struct {
	Class      call.Class
	Idempotent bool
	// Deadline is the call's; zero: none.
	Deadline time.Time
	// Number is 1 for the first attempt.
	Number int
	// MaxAttempts bounds the attempts of this call; zero: as configured.
	MaxAttempts int
	Outcome     call.Outcome
	Cause       Cause
	// BytesWritten is true where any byte reached the connection.
	BytesWritten bool
	// Delivered is true where part of the answer has reached the caller and
	// can't be continued by another replica.
	Delivered bool
}

// surelyNotRun reports whether the attempt can't have run: nothing was written,
// or the replica refused it before running.
func (a Attempt) surelyNotRun() bool {
	return a.Outcome == call.OutcomeNotRun && (!a.BytesWritten || a.Cause == CauseBusy)
}
