package sched

// Reason is the reason for a decision of the queue, as given in logs and answers.
type Reason string

// The reasons of Offer and Expire.
const (
	ReasonQueued Reason = "queued"
	// ReasonNotValid is for an item that fails validation.
	ReasonNotValid Reason = "notValid"
	// ReasonIDInUse is for an item whose call ID is already in the queue.
	ReasonIDInUse Reason = "idInUse"
	// ReasonFull is for a full queue with nothing of a lower tier to displace.
	ReasonFull Reason = "queueFull"
	// ReasonTeamFull is for a team that already uses its share of the capacity.
	ReasonTeamFull Reason = "teamQueueFull"
	// ReasonDeadline is for an item that cannot finish before its deadline.
	ReasonDeadline Reason = "deadlineHopeless"
	// ReasonMaxWait is for an item that has waited for its MaxWait.
	ReasonMaxWait Reason = "maxWait"
	// ReasonDisplaced is for an item displaced by one of a higher tier.
	ReasonDisplaced Reason = "displaced"
)

// The reasons of Next.
const (
	// ReasonEmpty means that no item is waiting.
	ReasonEmpty Reason = "empty"
	// ReasonPriority means that the item's tier is the highest with waiting items.
	ReasonPriority Reason = "priority"
	// ReasonTurn means that the item's tier had waited for its TurnEvery.
	ReasonTurn Reason = "turn"
)
