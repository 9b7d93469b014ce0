package place

import (
	"slices"
	"time"

	"gentianwell/core/call"
)

// Replica is a backend server's engine as last reported.
type Replica struct {
	ID   call.ReplicaID
	Zone call.Zone
	// Models are the models that it can serve; empty for all.
	Models []call.Model
	// Slots is the number of models it can hold; adapters take no slot.
	Slots int
	// Loaded is what it had loaded at the time Reported.
	Loaded   []Artifact
	Reported time.Time
	// ChecksOrders is true if the engine refuses orders with an old fencing token.
	ChecksOrders bool
	// EarlierOrdersEnded is the time by which all orders of earlier lease holders
	// to this replica had ended; zero while they may still arrive. Only reports
	// from after it count towards MinCopies.
	EarlierOrdersEnded time.Time
	// OrdersAllowed is true if an order may be sent to the replica now.
	OrdersAllowed bool
	// Leaving is true if the backend server is about to stop.
	Leaving bool
}

// Replicas lists all replicas.
type Replicas []Replica

// canServe reports whether the replica can serve the model.
func (r *Replica) canServe(m call.Model) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, m)
}

// holds reports whether the replica reported any version of the model as loaded.
func (r *Replica) holds(m call.Model) bool {
	return slices.ContainsFunc(r.Loaded, func(a Artifact) bool { return a.Model == m })
}

// confirmed reports whether the last report was made after all orders of earlier
// lease holders had ended.
func (r *Replica) confirmed() bool {
	return !r.EarlierOrdersEnded.IsZero() && r.Reported.After(r.EarlierOrdersEnded)
}
