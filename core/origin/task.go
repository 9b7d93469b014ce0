package origin

import "gentianwell/core/call"

// TaskKind is what a VM has to do with the base of a service.
type TaskKind string

// The kinds of task.
const (
	TaskNone  TaskKind = "none"
	TaskRead  TaskKind = "read"
	TaskWrite TaskKind = "write"
)

// Task is what a VM has to do with the base of a service in the store.
type Task struct {
	Kind TaskKind
	// Version is the base to write, with TaskWrite, if that in the store was last changed at
	// Revision; zero if there must be none.
	Version  call.Version
	Revision int64
}
