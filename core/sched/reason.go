package sched

// Reason says why the queue decided as it did; it goes into logs and answers.
type Reason string

// The reasons of Offer and Expire.
const (
	ReasonQueued Reason = "queued"
	// ReasonNotValid is for an item that cannot be queued at all.
	ReasonNotValid Reason = "notValid"
	// ReasonIDInUse is for an item whose call ID is already in the queue.
	ReasonIDInUse Reason = "idInUse"
	// ReasonFull is for a full queue without work of a lower tier.
	ReasonFull Reason = "queueFull"
	// ReasonTeamFull is for a team that holds its share of the places.
	ReasonTeamFull Reason = "teamQueueFull"
	// ReasonDeadline is for an item that cannot finish before its deadline.
	ReasonDeadline Reason = "deadlineHopeless"
	// ReasonMaxWait is for work that has waited for its tier's MaxWait.
	ReasonMaxWait Reason = "maxWait"
	// ReasonDisplaced is for work that lost its place to a higher tier.
	ReasonDisplaced Reason = "displaced"
)

// The reasons of Next.
const (
	// ReasonEmpty says that nothing waits.
	ReasonEmpty Reason = "empty"
	// ReasonPriority says that the item's tier is the highest with waiting work.
	ReasonPriority Reason = "priority"
	// ReasonTurn says that the item's tier had waited for its TurnEvery.
	ReasonTurn Reason = "turn"
)
