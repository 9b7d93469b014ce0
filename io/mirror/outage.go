package mirror

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// outage records from failed reads when a service was last known to be down.
type outage struct {
	// lastDown is zero if it has not been down since the last read that succeeded.
	lastDown time.Time
}

// failed records that a read failed that began at a time. One without a response may have
// met an outage that ended before the read did.
func (o *outage) failed(began time.Time, err error) {
	switch {
	case errors.Is(err, kvs.ErrRefused):
	case errors.Is(err, context.DeadlineExceeded):
		if began.After(o.lastDown) {
			o.lastDown = began
		}
	default:
		o.lastDown = time.Now()
	}
}

// end records that a read succeeded. It returns how long ago the service was last known to
// be down, and false if it has not been.
func (o *outage) end() (time.Duration, bool) {
	lastDown := o.lastDown
	o.lastDown = time.Time{}
	return time.Since(lastDown), !lastDown.IsZero()
}
