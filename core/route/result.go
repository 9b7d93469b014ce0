package route

import "time"

// Status is how a run on a replica ended.
type Status string

// The statuses. StatusUnreachable: no connection could be made.
// StatusCrashed: the replica broke down while it ran the call.
// StatusFailed: any other failure of the replica. StatusCanceled: the caller
// went away or the run was stopped, which says nothing about the replica.
const (
	StatusOK          Status = "ok"
	StatusFailed      Status = "failed"
	StatusCrashed     Status = "crashed"
	StatusUnreachable Status = "unreachable"
	StatusCanceled    Status = "canceled"
)

// Result is what a run showed about its replica.
type Result struct {
	Status Status
	// FirstToken is the time from sending to the first token or, for a plain
	// service, to the answer's head; zero: none came.
	FirstToken time.Duration
}
