package route

import (
	"net/netip"
	"slices"
	"time"

	"gentianwell/core/call"
)

// Replica is one replica of the fleet, of one or several models.
type Replica struct {
	ID      call.ReplicaID
	Zone    call.Zone
	Address netip.AddrPort
	Models  []call.Model
	// Slots is how many requests it runs at the same time; zero: unknown.
	Slots int
}

// Replicas is the whole list.
type Replicas []Replica

func (l Replicas) equal(other Replicas) bool {
	return slices.EqualFunc(l, other, func(a, b Replica) bool {
		same := a.ID == b.ID && a.Zone == b.Zone && a.Address == b.Address && a.Slots == b.Slots
		return same && slices.Equal(a.Models, b.Models)
	})
}

// Load is a replica's own report of its load.
type Load struct {
	// Running and Waiting are requests, those of all VMs.
	Running int
	Waiting int
	// Slots is how many requests it runs at the same time; zero: it does not say.
	Slots int
	// MeasuredAt is when the replica measured it.
	MeasuredAt time.Time
}
