package scale

import "gentianwell/core/call"

// Order asks the platform for a number of replicas of a service in an availability zone.
type Order struct {
	Service call.Model
	Zone    call.Zone
	// Count is the number of replicas of the kind that the order names.
	Count int
	// Spot is true for replicas that are cheaper and that the platform may reclaim.
	Spot bool
	// Reason says why the planner asks for this number.
	Reason Reason
}

// Reason names what decided an order, or why there is none.
type Reason string

// The reasons of orders.
const (
	// ReasonShort: the zone has fewer replicas than the demand needs.
	ReasonShort Reason = "short"
	// ReasonSpot: spot replicas are to take the place of others.
	ReasonSpot Reason = "spot"
	// ReasonSpare: the zone has had more replicas than needed for a whole window.
	ReasonSpare Reason = "spare"
	// ReasonUnseen: spot replicas were ordered, and no entry names one. They can't be told from
	// others, or are not to be had.
	ReasonUnseen Reason = "unseen"
	// ReasonReplaced: warm spot replicas have taken the place of the others.
	ReasonReplaced Reason = "replaced"
)

// The reasons why nothing is ordered.
const (
	ReasonEnough     Reason = "enough"
	ReasonUnmeasured Reason = "unmeasured"
	ReasonOldInput   Reason = "oldInput"
)
