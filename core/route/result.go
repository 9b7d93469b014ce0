package route

import "time"

// Status is how a call on a replica ended.
type Status string

// Statuses of a call. StatusUnreachable means that no connection could be made,
// StatusCrashed that the replica crashed while it ran the call, StatusFailed any
// other failure of the replica. StatusCanceled means that the caller disconnected or
// the call was stopped, which says nothing about the replica.
const (
	StatusOK          Status = "ok"
	StatusFailed      Status = "failed"
	StatusCrashed     Status = "crashed"
	StatusUnreachable Status = "unreachable"
	StatusCanceled    Status = "canceled"
)

// Result is the outcome of a call on a replica.
type Result struct {
	Status Status
	// FirstToken is the time from sending the call to the first token or, for a
	// service without tokens, to the response header; zero if neither arrived.
	FirstToken time.Duration
	// Gap is the mean time between the events of the answer; zero if it has fewer than two.
	Gap time.Duration
	// Expected is that of the Decision for the call; empty if it is not to be learned from.
	Expected Expectation
}
