package fleet

import (
	"net/netip"

	"gentianwell/core/call"
)

// State is what a replica says of itself.
type State string

// The states. A replica that is leaving finishes what it has and gets nothing new.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Entry is what a replica has registered.
type Entry struct {
	ID      call.ReplicaID
	Service call.Model
	Address netip.AddrPort
	Zone    call.Zone
	State   State
	// Slots is how many requests it runs at the same time.
	Slots int
}

// Record is one version of a replica's entry.
type Record struct {
	ID call.ReplicaID
	// Revision orders the records of all replicas.
	Revision int64
	// Entry is nil where the replica has no entry any more, or one that cannot be
	// read: it is not used either way.
	Entry *Entry
}

// Records are several records.
type Records []Record
