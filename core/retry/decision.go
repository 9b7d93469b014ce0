package retry

import "time"

// Action is what is done after a failed attempt.
type Action string

// The actions.
const (
	ActionRetry  Action = "retry"
	ActionGiveUp Action = "giveUp"
)

// Reason says why.
type Reason string

// The reasons. ReasonNotRun and ReasonIdempotent go with a retry, all others
// with giving up.
const (
	ReasonNotRun        Reason = "notRun"
	ReasonIdempotent    Reason = "idempotent"
	ReasonAnswered      Reason = "answered"
	ReasonCanceled      Reason = "canceled"
	ReasonRejected      Reason = "rejected"
	ReasonMayHaveRun    Reason = "mayHaveRun"
	ReasonDelivered     Reason = "delivered"
	ReasonAttempts      Reason = "attempts"
	ReasonDeadline      Reason = "deadline"
	ReasonBudgetOfVM    Reason = "budgetOfVM"
	ReasonBudgetOfClass Reason = "budgetOfClass"
)

// Decision is whether a call is attempted again.
type Decision struct {
	Action Action
	Reason Reason
	// Wait is the pause before the retry.
	Wait time.Duration
}
