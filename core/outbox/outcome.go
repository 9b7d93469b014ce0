package outbox

// Outcome is what has become of a record.
type Outcome string

// The outcomes. All but OutcomePending are final.
const (
	// OutcomePending means that the record waits or is being written.
	OutcomePending Outcome = ""
	// OutcomeKnown means that the record, or a later one that covers it, is known.
	OutcomeKnown Outcome = "known"
	// OutcomeReplaced means that a later record has replaced it that does not cover it.
	OutcomeReplaced Outcome = "replaced"
	// OutcomeFull means that the queue was full.
	OutcomeFull Outcome = "full"
	// OutcomeRemoved means that the record is not to be written any more.
	OutcomeRemoved Outcome = "removed"
	// OutcomeClosed means that the writer has stopped for good.
	OutcomeClosed Outcome = "closed"
)
