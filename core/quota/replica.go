package quota

import "gentianwell/core/call"

// Replica is a backend server that may be sent to.
type Replica struct {
	ID   call.ReplicaID
	Zone call.Zone
}
