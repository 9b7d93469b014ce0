package route

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// maxSkipped limits the length of Decision.Skipped.
const maxSkipped = 8

// Errors of the Pick methods, to be tested with errors.Is.
const (
	// ErrNoReplica means that the model has no replica, or that none is left after
	// exclusions and ejections.
	ErrNoReplica = errors.ConstError("no replica for the model")
	// ErrBusy means that no usable replica of the model can take the call now.
	ErrBusy = errors.ConstError("all replicas of the model are full")
	// ErrNoVersion means that the model has no replica of the call's version.
	ErrNoVersion = errors.ConstError("no replica of the version for the model")
	// ErrLimited means that the replicas of the model that are left take no more requests of
	// this VM now, by limits that they have named or pauses that they have asked for.
	ErrLimited = errors.ConstError("all replicas of the model have named limits that are used up, or asked for a pause")
)

// Reason says why a replica was chosen.
type Reason string

// Reasons for a choice. ReasonHome: it is the replica to which all VMs send calls
// with this prompt prefix. ReasonLastResort: only ejected replicas were left. ReasonFastest: it
// had the least expected time where expected times decide.
const (
	ReasonLeastLoaded  Reason = "leastLoaded"
	ReasonPrefixCached Reason = "prefixCached"
	ReasonOtherZone    Reason = "otherZone"
	ReasonHome         Reason = "home"
	ReasonAlone        Reason = "alone"
	ReasonLastResort   Reason = "lastResort"
	ReasonFastest      Reason = "fastest"
)

// SkipReason says why a replica was not chosen.
type SkipReason string

// Reasons for not choosing a replica. SkipWorse: another candidate has a better
// score. SkipLimited: the replica has named a limit, of which this VM holds no part or has
// used its part up. SkipReserved: the replica runs a call that must run alone, or is kept free
// for one. SkipLeaving: it has said that it leaves. SkipPaused: it has asked for a pause.
// SkipTooSlow: the call is not likely to be in time there.
const (
	SkipTooSlow  SkipReason = "tooSlow"
	SkipLeaving  SkipReason = "leaving"
	SkipPaused   SkipReason = "paused"
	SkipExcluded SkipReason = "excluded"
	SkipEjected  SkipReason = "ejected"
	SkipFull     SkipReason = "full"
	SkipReserved SkipReason = "reserved"
	SkipLimited  SkipReason = "limited"
	SkipWorse    SkipReason = "worse"
)

// Skipped is a replica that was not chosen.
type Skipped struct {
	ID     call.ReplicaID
	Reason SkipReason
}

// Decision is the outcome of a Pick method.
type Decision struct {
	Replica Replica
	Reason  Reason
	// Load is the chosen replica's estimated load per slot.
	Load float64
	// ReportAge is the age of the replica's load report; zero if there is none.
	ReportAge time.Duration
	// CachedPrefixes is the number of the call's prefixes that the replica probably
	// has cached.
	CachedPrefixes int
	// Skipped holds the first few replicas that were not chosen, Usable the number
	// of those that could have been.
	Skipped []Skipped
	Usable  int
	// Expected is what the call can expect at the replica. Weighed says what decided its cost
	// where expected times decide.
	Expected Expectation
	Weighed  WeighReason
}

func (d *Decision) skip(id call.ReplicaID, reason SkipReason) {
	if len(d.Skipped) < maxSkipped {
		d.Skipped = append(d.Skipped, Skipped{ID: id, Reason: reason})
	}
}
