package poison

// Action is what may be done with a request.
type Action string

// The actions.
const (
	ActionRun    Action = "run"
	ActionAlone  Action = "alone"
	ActionRefuse Action = "refuse"
)

// Reason says why.
type Reason string

// The reasons. ReasonExonerated: it was in flight at crashes, but has finished
// as often.
const (
	ReasonUnknown      Reason = "unknown"
	ReasonExonerated   Reason = "exonerated"
	ReasonFewCrashes   Reason = "fewCrashes"
	ReasonSuspect      Reason = "suspect"
	ReasonCrashedAlone Reason = "crashedAlone"
)

// Verdict is the judgement on a request.
type Verdict struct {
	Action Action
	Reason Reason
	// Crashes and Finishes are those known of all VMs.
	Crashes  int
	Finishes int
}
