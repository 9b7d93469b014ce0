// Package kvs is the interface to the platform's key-value service: compare-and-swap
// transactions, leases and watches as function fields, and an adapter that uses the
// published JSON gateway of etcd v3 over net/http.
//
// # Usage
//
//	svc := kvs.NewGateway(kvs.GatewayConfig{Addresses: addrs}).Service()
//	snap, err := svc.List(ctx, "gentianwell/settings/")
//	res, err := svc.Transact(ctx, kvs.Txn{
//		Compares: []kvs.Compare{kvs.Absent("gentianwell/claims/k")},
//		Then:     []kvs.Op{kvs.Put("gentianwell/claims/k", value, lease)},
//	})
//
// Callers must distinguish two kinds of error: after ErrUnavailable the call
// certainly had no effect, after ErrUnknown it may have had one.
package kvs

import (
	"context"
	"time"
)

// Service is the platform's key-value service. No field may be nil; tests replace
// single fields.
//
// A service that comes back from an older copy gives revisions and lease IDs out again. An
// adapter that can tell makes all revisions of a later era, see Revision: then a Compare
// with a revision of an earlier era does not hold, and a watch from one ends with
// ErrCompacted. What users do to lose nothing in a restore depends on that.
type Service struct {
	// Get returns one entry; Found is false if the key does not exist.
	Get func(ctx context.Context, key string) (Lookup, error)
	// List returns all entries whose keys have the prefix, as of one revision.
	List func(ctx context.Context, prefix string) (Snapshot, error)
	// Transact atomically applies Then if all compares hold, and Else otherwise.
	Transact func(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that expires if it isn't renewed for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew renews a lease and returns its time to live, or ErrLeaseLapsed if it does
	// not exist any more.
	Renew func(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch calls fn for each batch of events of keys with the prefix, starting at the
	// revision from, until ctx ends, fn returns an error or the watch fails. A batch
	// without events is a progress notice: there are no more events up to its
	// revision. ErrCompacted means that events were lost and the caller has to List.
	Watch func(ctx context.Context, prefix string, from Revision, fn func(Batch) error) error
}
