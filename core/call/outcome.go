package call

// Outcome is what a caller is told about whether the request was run.
type Outcome string

// The outcomes. OutcomeNotRun is a promise: no backend server has run the
// request nor will. OutcomeUnknown means that it may have been run.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)
