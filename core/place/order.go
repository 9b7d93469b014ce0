package place

import "gentianwell/core/call"

// Action is what an order asks a replica to do.
type Action string

// The actions. Each names a state to reach, so that orders are idempotent.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order tells one replica to load or unload an artifact. Reason is for the log.
type Order struct {
	Replica  call.ReplicaID
	Artifact Artifact
	Action   Action
	Reason   string
}

// Orders lists orders in the sequence in which they are to be sent.
type Orders []Order
