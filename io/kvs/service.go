// Package kvs is the seam to the platform's key-value service: compare-and-swap
// transactions, leases and watches, as function fields, and an adapter that
// speaks the published JSON gateway of etcd v3 over net/http.
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
// Errors fall into two kinds that callers must tell apart: ErrUnavailable, the
// call surely had no effect, and ErrUnknown, it may have had one.
package kvs

import (
	"context"
	"time"
)

// Service is the platform's key-value service. A zero function field is not
// allowed; tests replace single fields.
type Service struct {
	// Get returns one entry; Found is false where the key does not exist.
	Get func(ctx context.Context, key string) (Lookup, error)
	// List returns all entries below a prefix as of one revision.
	List func(ctx context.Context, prefix string) (Snapshot, error)
	// Transact applies Then or Else in one step, by the result of all compares.
	Transact func(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that lapses when not renewed for ttl.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew returns the lease's new time to live; ErrLeaseLapsed if it is gone.
	Renew func(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch calls fn for each batch of events below prefix, beginning at the
	// revision from, until ctx ends, fn returns an error or the watch fails. An
	// empty batch is a progress notice: nothing has happened up to its revision.
	// ErrCompacted means that events were lost and a List is due.
	Watch func(ctx context.Context, prefix string, from Revision, fn func(Batch) error) error
}
