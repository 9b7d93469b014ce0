package kvs

import (
	"time"

	"github.com/juju/errors"
)

// The errors of the service's calls, to be tested with errors.Is.
const (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrRefused is an ErrUnavailable of a service that is up and refuses this call, such as
	// one beyond a limit.
	ErrRefused = errors.ConstError("key-value service refused the call")
	// ErrUnknown means that there was no usable reply, so that the call may have had
	// its effect.
	ErrUnknown = errors.ConstError("key-value service gave no reply: effect unknown")
	// ErrLeaseLapsed means that the lease does not exist any more.
	ErrLeaseLapsed = errors.ConstError("lease lapsed")
	// ErrCompacted means that the watch's start revision has been compacted.
	ErrCompacted = errors.ConstError("watched revision is compacted")
)

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Lease is a granted lease.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Entry is a key with its value of at most one megabyte. CreateRevision is the
// revision at which the key was created, ModRevision that of its last change.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Entries lists entries in key order.
type Entries []Entry

// Lookup is the result of Get.
type Lookup struct {
	Entry    Entry
	Found    bool
	Revision Revision
}

// Snapshot is the result of List.
type Snapshot struct {
	Entries  Entries
	Revision Revision
	// Delay is for how long the newest change may have gone unnoticed at most; zero if it has
	// just been delivered, and in the result of a call.
	Delay time.Duration
}

// CompareTarget is the property of a key that a Compare tests.
type CompareTarget string

// The targets: the create revision (0 if the key does not exist), the revision of the
// last change, and the value.
const (
	TargetCreate CompareTarget = "create"
	TargetMod    CompareTarget = "mod"
	TargetValue  CompareTarget = "value"
)

// Compare is one condition of a transaction: the target equals the given value.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision Revision
	Value    []byte
}

// Absent returns the condition that the key does not exist.
func Absent(key string) Compare { return Compare{Key: key, Target: TargetCreate} }

// Unchanged returns the condition that the key was last changed at the revision.
func Unchanged(key string, mod Revision) Compare {
	return Compare{Key: key, Target: TargetMod, Revision: mod}
}

// HasValue returns the condition that the key has the value.
func HasValue(key string, value []byte) Compare {
	return Compare{Key: key, Target: TargetValue, Value: value}
}

// OpKind is the kind of an Op.
type OpKind string

// The operations of a transaction.
const (
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
	OpGet    OpKind = "get"
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Put returns an operation that stores a value, with a lease or without one (0).
func Put(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete returns an operation that deletes a key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Get returns an operation that reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// Txn is a transaction: Then is applied if all Compares hold, Else otherwise.
type Txn struct {
	Compares []Compare
	Then     []Op
	Else     []Op
}

// TxnResult is the result of a transaction. Succeeded is true if all compares held.
// Lookups has the results of the OpGet operations that were applied, in their order.
// Current has the entries of compared keys, in any order, if a compare did not hold and the
// service tells them; a key that is missing there need not be absent.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
	Lookups   []Lookup
	Current   []Entry
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event.
const (
	EventPut    EventKind = "put"
	EventDelete EventKind = "delete"
)

// Event is one change of one key.
type Event struct {
	Kind  EventKind
	Entry Entry
}

// Batch is the events that a watch delivers at once, and the revision up to which it
// has got. Without events it is a progress notice.
type Batch struct {
	Revision Revision
	Events   []Event
}
