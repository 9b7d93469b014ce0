package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// recordLease is the lease under which a writer puts new records into the store.
type recordLease struct {
	grant func(context.Context, time.Duration) (kvs.Lease, error)
	now   func() time.Time
	// ttl is how long records stay in the store, use how long one lease is used for new ones.
	ttl, use time.Duration

	mu sync.Mutex
	// id is the lease in use, granted at grantedAt; zero if there is none.
	id        kvs.LeaseID
	grantedAt time.Time
}

// current returns the lease for new records, a new one from time to time.
func (l *recordLease) current(ctx context.Context) (kvs.LeaseID, error) {
	l.mu.Lock()
	id, age := l.id, l.now().Sub(l.grantedAt)
	l.mu.Unlock()
	if id != 0 && age < l.use {
		return id, nil
	}
	granted, err := l.grant(ctx, l.ttl)
	if err != nil {
		return 0, errors.Annotate(err, "recordLease.current")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.grantedAt = granted.ID, l.now()
	return granted.ID, nil
}

// forget makes a new lease be granted, as the store may have lost the one in use.
func (l *recordLease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = 0
}
