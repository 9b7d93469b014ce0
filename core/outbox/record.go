package outbox

// Record is a record of a Queue.
type Record[K comparable, V any] struct {
	ID    K
	Value V
	// seq is the number of the Put that added the record.
	seq uint64
}
