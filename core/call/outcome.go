package call

// Outcome tells the caller whether the request was run.
type Outcome string

// The outcomes. OutcomeNotRun guarantees that no backend server has run or will
// run the request. OutcomeUnknown means that it may have been run.
const (
	OutcomeNotRun  Outcome = "notRun"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)
