package route

import (
	"net/netip"
	"slices"
	"time"

	"gentianwell/core/call"
)

// Replica is one replica of the fleet. It serves one or several models.
type Replica struct {
	ID      call.ReplicaID
	Zone    call.Zone
	Address netip.AddrPort
	Models  []call.Model
	// Slots is the number of requests that it runs concurrently; zero if unknown.
	Slots int
	// Version is the version of its software; empty if unknown.
	Version call.Version
	// Started is when it started, by its own clock; zero if unknown.
	Started time.Time
}

// Replicas is the list of all replicas of the fleet.
type Replicas []Replica

func (l Replicas) equal(other Replicas) bool {
	return slices.EqualFunc(l, other, func(a, b Replica) bool {
		same := a.ID == b.ID && a.Zone == b.Zone && a.Address == b.Address && a.Slots == b.Slots && a.Version == b.Version && a.Started.Equal(b.Started)
		return same && slices.Equal(a.Models, b.Models)
	})
}

// Load is the load that a replica reports of itself.
type Load struct {
	// Running and Waiting count the requests of all VMs.
	Running int
	Waiting int
	// Slots is the number of requests that it runs concurrently; zero if not reported.
	Slots int
	// WorkPercent is how long work takes at the moment, as a percentage of the usual; zero if
	// not reported.
	WorkPercent int
	// MeasuredAt is the time of the measurement.
	MeasuredAt time.Time
}
