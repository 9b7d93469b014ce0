package mirror

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// Outage records from failed reads when a service was last known to be down. The zero value is
// ready for use.
type Outage struct {
	// lastDown is zero if it has not been down since the last read that succeeded.
	lastDown time.Time
	failures int
}

// Failed records that a read failed that began at a time. One without a response may have
// met an outage that ended before the read did. One that the service refused met none.
func (o *Outage) Failed(began time.Time, err error) {
	if errors.Is(err, kvs.ErrRefused) {
		return
	}
	o.failures++
	switch {
	case !errors.Is(err, context.DeadlineExceeded):
		o.lastDown = time.Now()
	case began.After(o.lastDown):
		o.lastDown = began
	}
}

// End records that a read succeeded. It returns how many reads had failed since the last one
// that did, and how long ago the service was last known to be down.
func (o *Outage) End() (failures int, lastDown time.Duration) {
	if o.failures > 0 {
		failures, lastDown = o.failures, time.Since(o.lastDown)
	}
	*o = Outage{}
	return failures, lastDown
}
