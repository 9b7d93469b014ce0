package quota

import (
	"time"

	"gentianwell/core/call"
)

// Answer is a replica's answer to a request.
type Answer struct {
	Replica call.ReplicaID
	// Sent is when the request was sent to it.
	Sent time.Time
	// Limit is the limit that it names, at least 0; nil if it names none.
	Limit *float64
}
