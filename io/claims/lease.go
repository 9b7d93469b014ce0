package claims

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// leaseUseDivisor is the divisor of the retention that gives how long a lease is used
// for new records. Leases are never renewed. All records of a lease expire together,
// each after at least the retention, whether or not this VM still exists.
const leaseUseDivisor = 4

// currentLease is a lease that is used for new records until the given time.
type currentLease struct {
	id    kvs.LeaseID
	until time.Time
}

// leases provides the leases for new records, one for each retention in use.
type leases struct {
	config Config

	mu      sync.Mutex
	current map[time.Duration]currentLease
}

func newLeases(c Config) *leases {
	return &leases{config: c, current: map[time.Duration]currentLease{}}
}

// get returns the current lease for a retention and grants a new one if needed.
func (l *leases) get(ctx context.Context, retention time.Duration) (kvs.LeaseID, error) {
	now := l.config.Now()
	l.mu.Lock()
	lease, ok := l.current[retention]
	l.mu.Unlock()
	if ok && now.Before(lease.until) {
		return lease.id, nil
	}
	use := retention / leaseUseDivisor
	granted, err := l.config.Service.Grant(ctx, retention+use)
	if err != nil {
		return 0, errors.Annotate(err, "leases.get")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[retention] = currentLease{id: granted.ID, until: now.Add(use)}
	return granted.ID, nil
}

// discard drops all current leases. It is called when the service reports that one
// of them no longer exists, and when it was restored from an older copy.
func (l *leases) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.current)
}
