package fair

import "time"

// Reason says why a request was admitted or refused.
type Reason string

// The reasons. Only ReasonOverShare refuses.
const (
	// ReasonEnoughRoom: the service is not short of capacity.
	ReasonEnoughRoom Reason = "enoughRoom"
	// ReasonWithinShare: the team asks for no more than its share.
	ReasonWithinShare Reason = "withinShare"
	// ReasonPartOfShare: the team asks for more, and this request fits into its share.
	ReasonPartOfShare Reason = "partOfShare"
	// ReasonReturned: as ReasonPartOfShare, ahead of new requests, because it was refused before.
	ReasonReturned  Reason = "returned"
	ReasonOverShare Reason = "overTeamShare"
)

// Basis says whose measurements a verdict rests on.
type Basis string

// The bases: the average over the VMs, or this VM's measurements alone.
const (
	BasisFleet Basis = "fleet"
	BasisOwn   Basis = "own"
)

// Verdict is the decision about a request.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is when room for the team is expected; zero if the request was admitted.
	RetryAfter time.Duration
	// Share is the work that a team may ask for, Use the work that this team asks for; both are
	// decaying sums in prompt tokens, and zero without a shortage.
	Share, Use float64
	Basis      Basis
	// Age is the age of the last exchange with another VM; zero if there was none.
	Age time.Duration
}
