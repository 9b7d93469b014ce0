package duty

import (
	"context"

	"github.com/juju/errors"

	"gentianwell/core/duty"
	"gentianwell/core/scale"
	"gentianwell/core/usage"
)

// API is the platform's API for the calls that one VM at a time may make.
//
// Errors: duty.ErrFenced, duty.ErrNotDone, otherwise duty.ErrUnknown.
type API struct {
	// ReportUsage reports the counts of one window.
	ReportUsage func(ctx context.Context, p duty.Permit, r usage.Report) error
	// OrderReplicas orders a number of replicas.
	OrderReplicas func(ctx context.Context, p duty.Permit, o scale.Order) error
}

// Order returns API.OrderReplicas for the holder. A 409 to an order of spot replicas can also mean
// that there are none, so the store is then asked whether the lease is still this VM's; after any
// other 409, Holder.Refused has to be called.
func (a API) Order(h *Holder) func(context.Context, duty.Permit, scale.Order) error {
	return func(ctx context.Context, p duty.Permit, o scale.Order) error {
		err := a.OrderReplicas(ctx, p, o)
		if o.Spot && errors.Is(err, duty.ErrFenced) {
			h.Doubt(p)
		}
		return errors.Trace(err)
	}
}
