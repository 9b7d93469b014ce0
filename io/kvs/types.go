package kvs

import (
	"time"

	"github.com/juju/errors"
)

// The errors of the service's calls, to be tested with errors.Is.
const (
	// ErrUnavailable means that the call surely had no effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrUnknown means that the call may have had its effect: the reply is missing.
	ErrUnknown = errors.ConstError("key-value service gave no reply: effect unknown")
	// ErrLeaseLapsed means that the lease does not exist any more.
	ErrLeaseLapsed = errors.ConstError("lease lapsed")
	// ErrCompacted means that the watched revision is gone.
	ErrCompacted = errors.ConstError("watched revision is compacted")
)

// Revision is the service's global revision, which grows with every change.
type Revision int64

// LeaseID names a lease; zero is none.
type LeaseID int64

// Lease is a granted lease.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Entry is a key with its value, of at most one megabyte.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Entries are entries in key order.
type Entries []Entry

// Lookup is the answer to Get.
type Lookup struct {
	Entry    Entry
	Found    bool
	Revision Revision
}

// Snapshot is the answer to List.
type Snapshot struct {
	Entries  Entries
	Revision Revision
}

// CompareTarget is what a Compare looks at.
type CompareTarget string

// The targets: revision of creation (0: absent), revision of the last change, value.
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

// Absent holds where the key does not exist.
func Absent(key string) Compare { return Compare{Key: key, Target: TargetCreate} }

// Unchanged holds where the key was last changed at the revision.
func Unchanged(key string, mod Revision) Compare {
	return Compare{Key: key, Target: TargetMod, Revision: mod}
}

// HasValue holds where the key has the value.
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

// Put stores a value, with a lease or without (0).
func Put(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete removes a key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Get reads a key.
func Get(key string) Op { return Op{Kind: OpGet, Key: key} }

// Txn is a transaction.
type Txn struct {
	Compares []Compare
	Then     []Op
	Else     []Op
}

// TxnResult is the result of a transaction. Lookups holds the answers to the
// OpGet operations of the branch that ran, in their order.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
	Lookups   []Lookup
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

// Batch is what a watch delivers at one time.
type Batch struct {
	Revision Revision
	Events   []Event
}
