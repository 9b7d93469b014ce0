package retry

import "time"

// Action is what to do after a failed attempt.
type Action string

// The actions.
const (
	ActionRetry  Action = "retry"
	ActionGiveUp Action = "giveUp"
)

// Reason is the reason for a decision.
type Reason string

// The reasons. ReasonNotRun and ReasonIdempotent are for ActionRetry, all others
// for ActionGiveUp.
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

// Decision is the result of Policy.Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Wait is the pause before the retry.
	Wait time.Duration
}
