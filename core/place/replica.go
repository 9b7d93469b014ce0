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
	// Slots is how many models it can hold; adapters take none.
	Slots int
	// Loaded is what it held at the time Reported.
	Loaded   []Artifact
	Reported time.Time
	// ChecksOrders is true where the engine refuses old fencing numbers.
	ChecksOrders bool
	// EarlierOrdersEnded is when the orders of all earlier holders had surely ended for this
	// replica; zero while they may still arrive. Only reports from after it count
	// for floors.
	EarlierOrdersEnded time.Time
	// OrdersAllowed is true where an order may be given now.
	OrdersAllowed bool
	// Leaving is true where the backend server is about to stop.
	Leaving bool
}

// Replicas are all replicas.
type Replicas []Replica

// canServe reports whether the replica can serve the model.
func (r *Replica) canServe(m call.Model) bool {
	return len(r.Models) == 0 || slices.Contains(r.Models, m)
}

// holds reports whether the replica reported the model in any version.
func (r *Replica) holds(m call.Model) bool {
	return slices.ContainsFunc(r.Loaded, func(a Artifact) bool { return a.Model == m })
}

// sure reports whether its report surely comes after all earlier holders' orders.
func (r *Replica) sure() bool {
	return !r.EarlierOrdersEnded.IsZero() && r.Reported.After(r.EarlierOrdersEnded)
}
