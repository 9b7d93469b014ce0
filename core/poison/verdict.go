package poison

// Action is how a request may run.
type Action string

// The actions. With ActionAlone a request runs only on a replica on which nothing
// else is in flight.
const (
	ActionRun    Action = "run"
	ActionAlone  Action = "alone"
	ActionRefuse Action = "refuse"
)

// Reason is why an action was chosen.
type Reason string

// The reasons. ReasonExonerated: the request was in flight during crashes, but has
// finished at least as often.
const (
	ReasonUnknown      Reason = "unknown"
	ReasonExonerated   Reason = "exonerated"
	ReasonFewCrashes   Reason = "fewCrashes"
	ReasonSuspect      Reason = "suspect"
	ReasonCrashedAlone Reason = "crashedAlone"
	// ReasonCrashedOften: the request has crashed Config.RefuseAfter servers.
	ReasonCrashedOften Reason = "crashedOften"
)

// Verdict is the result of judging a request.
type Verdict struct {
	Action Action
	Reason Reason
	// Crashes and Finishes are the totals over all VMs' records. With Config.Successive,
	// Crashes are those that count if nothing has finished, and Finishes is zero.
	Crashes  int
	Finishes int
	// Successive is the number of crashes that count since the latest finish, with
	// Config.Successive.
	Successive int
}
