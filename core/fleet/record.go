package fleet

import (
	"net/netip"
	"time"

	"gentianwell/core/call"
)

// State is the state that a replica registers for itself.
type State string

// The states. A leaving replica finishes the requests that it has and gets no new
// ones.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Entry is a replica's registration in the store.
type Entry struct {
	ID      call.ReplicaID
	Service call.Model
	Address netip.AddrPort
	Zone    call.Zone
	State   State
	// Version is the version of its software; empty if it does not say.
	Version call.Version
	// Slots is the number of requests that the replica runs at the same time.
	Slots int
	// Started is when the replica started, by its own clock; zero if it does not say.
	Started time.Time
	// Spot is true for a replica that the platform may reclaim.
	Spot bool
	// Leaves is how long a reclaimed replica had left when it wrote its entry; zero if the entry
	// does not say.
	Leaves time.Duration
}

// Record is one version of a replica's entry.
type Record struct {
	ID call.ReplicaID
	// Revision orders the records of all replicas.
	Revision int64
	// Entry is nil where the replica's entry was removed or cannot be read; in both
	// cases the replica is not used.
	Entry *Entry
	// Unreadable is true where there is an entry that names no replica. It may have replaced
	// that of a replica which goes on running.
	Unreadable bool
}

// Records is a list of records.
type Records []Record
