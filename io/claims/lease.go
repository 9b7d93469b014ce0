package claims

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// leaseShare is the divisor of the retention that gives how long one lease is
// used for new records. It is never renewed: its records lapse together, each
// after the retention at least, whether this VM still exists or not.
const leaseShare = 4

// usedLease is a lease and until when new records get it.
type usedLease struct {
	id    kvs.LeaseID
	until time.Time
}

// leases gives the leases for new records, one for each retention in use.
type leases struct {
	config Config
	used   map[time.Duration]usedLease
}

func newLeases(c Config) *leases {
	return &leases{config: c, used: map[time.Duration]usedLease{}}
}

func (l *leases) get(ctx context.Context, retention time.Duration) (kvs.LeaseID, error) {
	now := l.config.Now()
	if lease, ok := l.used[retention]; ok && now.Before(lease.until) {
		return lease.id, nil
	}
	use := retention / leaseShare
	lease, err := l.config.Service.Grant(ctx, retention+use)
	if err != nil {
		return 0, errors.Annotate(err, "leases.get")
	}
	l.used[retention] = usedLease{id: lease.ID, until: now.Add(use)}
	return lease.ID, nil
}

// forget drops the leases, one of which the service doesn't know any more.
func (l *leases) forget() { clear(l.used) }
