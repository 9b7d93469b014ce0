package place

import "gentianwell/core/call"

// Action is what an order is about.
type Action string

// The actions. Each names a state to reach, so that an order given twice does no
// harm.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is an order to one replica, with its reason for the log.
type Order struct {
	Replica  call.ReplicaID
	Artifact Artifact
	Action   Action
	Reason   string
}

// Orders are orders in the sequence in which they are given.
type Orders []Order
