package route

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// maxPassed bounds Decision.Passed.
const maxPassed = 8

// The errors of Pick, to be tested with errors.Is.
const (
	// ErrNoReplica means that no replica of the model is known or left.
	ErrNoReplica = errors.ConstError("no replica for the model")
	// ErrBusy means that all usable replicas of the model are full.
	ErrBusy = errors.ConstError("all replicas of the model are full")
)

// Reason says why a replica was chosen.
type Reason string

// The reasons for a choice. ReasonHome: the replica that all VMs send calls with
// this prompt prefix to. ReasonLastResort: only ejected replicas were left.
const (
	ReasonLeastLoaded  Reason = "leastLoaded"
	ReasonPrefixCached Reason = "prefixCached"
	ReasonOtherZone    Reason = "otherZone"
	ReasonHome         Reason = "home"
	ReasonAlone        Reason = "alone"
	ReasonLastResort   Reason = "lastResort"
)

// SkipReason says why a replica was passed over.
type SkipReason string

// The reasons for passing over. SkipWorse: a candidate with a worse score.
// SkipReserved: a call that has to be alone runs there.
const (
	SkipExcluded SkipReason = "excluded"
	SkipEjected  SkipReason = "ejected"
	SkipFull     SkipReason = "full"
	SkipReserved SkipReason = "reserved"
	SkipWorse    SkipReason = "worse"
)

// Skipped is a replica that was passed over.
type Skipped struct {
	ID     call.ReplicaID
	Reason SkipReason
}

// Decision is the outcome of Pick.
type Decision struct {
	Replica Replica
	Reason  Reason
	// Load is the chosen replica's estimated load per slot.
	Load float64
	// ReportAge is the age of the replica's load report; zero where there is none.
	ReportAge time.Duration
	// CachedPrefixes is how many of the call's prefixes it is believed to hold.
	CachedPrefixes int
	// Skipped holds the first few that were passed over, Usable how many could
	// have been chosen.
	Skipped []Skipped
	Usable int
}

func (d *Decision) pass(id call.ReplicaID, reason SkipReason) {
	if len(d.Skipped) < maxPassed {
		d.Skipped = append(d.Skipped, Skipped{ID: id, Reason: reason})
	}
}
