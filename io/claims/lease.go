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

// retention gives the lease for new records.
type retention struct {
	config Config
	lease  kvs.LeaseID
	until  time.Time
}

func (r *retention) get(ctx context.Context) (kvs.LeaseID, error) {
	now := r.config.Now()
	if r.lease != 0 && now.Before(r.until) {
		return r.lease, nil
	}
	use := r.config.Retention / leaseShare
	lease, err := r.config.Service.Grant(ctx, r.config.Retention+use)
	if err != nil {
		return 0, errors.Annotate(err, "retention.get")
	}
	r.lease, r.until = lease.ID, now.Add(use)
	return r.lease, nil
}

// forget drops a lease that the service doesn't know any more.
func (r *retention) forget() { r.lease = 0 }
